#include "ingress/callertimeouts.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Each request multiplies the earlier counts by this factor. About the last fifty requests count.
constexpr double CountDecay = 0.98;
/// The maximum number of different values stored for a route. The rarest value is removed first. Without this limit
/// callers could fill the memory with different values.
constexpr std::size_t MaxValues = 24;
/// A timeout counts as typical only with at least this count. Until then every request counts as a first attempt.
constexpr double MinCount = 2.0;

}

Milliseconds CallerTimeouts::record(const RouteName &route, Milliseconds timeout)
{
    Counts &counts = routes_[route];
    for (auto &[value, count] : counts) {
        count *= CountDecay;
    }
    counts[timeout] += 1.0;
    if (counts.size() > MaxValues) {
        counts.erase(std::min_element(counts.begin(), counts.end(),
                                      [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    return std::max(typical(route) - timeout, Milliseconds{0});
}

Milliseconds CallerTimeouts::typical(const RouteName &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return Milliseconds{0};
    }
    const auto entry = mostFrequent(found->second);
    return entry == found->second.end() || entry->second < MinCount ? Milliseconds{0} : entry->first;
}

CallerTimeouts::Counts::const_iterator CallerTimeouts::mostFrequent(const Counts &counts)
{
    return std::max_element(counts.begin(), counts.end(),
                            [](const auto &left, const auto &right) { return left.second < right.second; });
}

}

#include "ingress/callertimeouts.h"

#include <algorithm>
#include <numeric>

namespace Egretpath
{

namespace
{

/// Each request multiplies the earlier counts by this factor. About the last fifty requests count.
constexpr double CountDecay = 0.98;
/// The maximum number of different values stored for a route. The rarest value is removed first. Without this limit
/// callers could fill the memory with different values.
constexpr std::size_t MaxValues = 24;
/// Timeouts count as those of first attempts only with at least this count. Until then every request counts as a first
/// attempt.
constexpr double MinCount = 2.0;
/// Callers start with the same timeout if at least this share of the requests, and at least this count, has it.
constexpr double CommonShare = 0.25;
constexpr double MinCommonCount = 3.0;
/// Share of the requests whose timeouts are too long to be usual.
constexpr double UnusualShare = 0.1;
/// The shortest timeout of a first attempt, as a share of the longest, if callers start with different timeouts.
constexpr double ShortestShare = 0.8;

bool hasSmallerCount(const std::pair<const Milliseconds, double> &left,
                     const std::pair<const Milliseconds, double> &right)
{
    return left.second < right.second;
}

}

Milliseconds CallerTimeouts::record(const RouteName &route, Milliseconds timeout)
{
    Counts &counts = routes_[route];
    for (auto &[value, count] : counts) {
        count *= CountDecay;
    }
    counts[timeout] += 1.0;
    if (counts.size() > MaxValues) {
        counts.erase(std::min_element(counts.begin(), counts.end(), hasSmallerCount));
    }
    const FirstAttempts first = firstAttempts(route);
    if (timeout >= first.shortest) {
        return Milliseconds{0};
    }
    return (first.shortest + first.longest) / 2 - timeout;
}

Milliseconds CallerTimeouts::typical(const RouteName &route) const
{
    return firstAttempts(route).longest;
}

CallerTimeouts::FirstAttempts CallerTimeouts::firstAttempts(const RouteName &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return {};
    }
    const Counts &counts = found->second;
    const double total = std::accumulate(counts.begin(), counts.end(), 0.0,
                                         [](double sum, const auto &entry) { return sum + entry.second; });
    if (total < MinCount) {
        return {};
    }
    const auto common = std::max_element(counts.begin(), counts.end(), hasSmallerCount);
    if (common->second >= std::max(total * CommonShare, MinCommonCount)) {
        return {common->first, common->first};
    }
    const Milliseconds longest = longestUsual(counts, total);
    return {Milliseconds(static_cast<Milliseconds::rep>(static_cast<double>(longest.count()) * ShortestShare)),
            longest};
}

Milliseconds CallerTimeouts::longestUsual(const Counts &counts, double total)
{
    double longer = 0.0;
    for (auto entry = counts.rbegin(); entry != counts.rend(); ++entry) {
        longer += entry->second;
        if (longer > total * UnusualShare) {
            return entry->first;
        }
    }
    return Milliseconds{0};
}

}

#include "ingress/callerpatience.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Weight that a count keeps with each further request: about the last fifty count.
constexpr double Fading = 0.98;
/// Values told apart for a route; the rarest is forgotten first, so that callers can't fill the memory.
constexpr std::size_t ValuesCap = 24;
/// A patience counts as the usual one when it was seen so often; before, nobody is taken for one that came back.
constexpr double LeastCount = 2.0;

}

Milliseconds CallerPatience::record(const RouteName &route, Milliseconds patience)
{
    Counts &counts = routes_[route];
    for (auto &[value, count] : counts) {
        count *= Fading;
    }
    counts[patience] += 1.0;
    if (counts.size() > ValuesCap) {
        counts.erase(std::min_element(counts.begin(), counts.end(),
                                      [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
    return std::max(usual(route) - patience, Milliseconds{0});
}

Milliseconds CallerPatience::usual(const RouteName &route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return Milliseconds{0};
    }
    const auto most = mostFrequent(found->second);
    return most == found->second.end() || most->second < LeastCount ? Milliseconds{0} : most->first;
}

CallerPatience::Counts::const_iterator CallerPatience::mostFrequent(const Counts &counts)
{
    return std::max_element(counts.begin(), counts.end(),
                            [](const auto &left, const auto &right) { return left.second < right.second; });
}

}

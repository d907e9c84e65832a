#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "routes/routetable.h"

namespace Egretpath
{

/// Spreads the requests of each route over its destinations in the proportion of their weights.
///
/// Smooth weighted round robin: after any number of requests each destination's share is off by less than one request,
/// which a draw at random would miss by its square root. Each route starts at a place of its own, so that many nodes
/// with few requests each don't all begin with the same destination.
/// Thread safety: none; one owner. Errors: none.
class TrafficSplit
{
public:
    /// @p seed: where the routes start; give each node another one.
    explicit TrafficSplit(std::uint64_t seed);

    /// The service of the next request. Precondition: @p route has a destination.
    [[nodiscard]] const ServiceName &next(const Route &route);
    /// Forgets routes that a new table no longer has, and starts again where weights changed.
    void clear() { credits_.clear(); }

private:
    using Credits = std::vector<double>;

    [[nodiscard]] Credits startOf(const Route &route) const;

    std::uint64_t seed_;
    std::unordered_map<RouteName, Credits> credits_;
};

}

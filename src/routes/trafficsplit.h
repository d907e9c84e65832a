#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "routes/routetable.h"

namespace Egretpath
{

/// Distributes the requests of each route over its destinations in proportion to their weights.
///
/// Uses smooth weighted round robin, which keeps the count of each destination less than one request away from its
/// share. With a random draw the error would be about the square root of the count. Each route starts with random
/// credits that depend on the seed, so that many nodes with few requests each do not all start with the same
/// destination. These credits add less than one request to the error. Thread safety: none; one owner. Errors: none.
class TrafficSplit
{
public:
    /// @p seed determines the credits that routes start with; it should differ from node to node.
    explicit TrafficSplit(std::uint64_t seed);

    /// Returns the service that takes the next request. Precondition: @p route has a destination.
    [[nodiscard]] const ServiceName &next(const Route &route);
    /// Starts all routes anew. To be called after a change of the table: routes may be gone and weights may have
    /// changed.
    void clear() { credits_.clear(); }

private:
    /// For each destination of a route, how far it is behind its share; a request counts as the total weight of the
    /// route.
    using Credits = std::vector<double>;

    /// Random credits that add up to zero.
    [[nodiscard]] Credits initialCredits(const Route &route) const;

    std::uint64_t seed_;
    std::unordered_map<RouteName, Credits> credits_;
};

}

#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Names a route for as long as the deployment lives, for example "read" or "new-7".
using RouteKey = Name<struct RouteKeyTag>;

/// What the operators published, and when. Thread safety: none.
class PublishedVersions
{
public:
    struct Version
    {
        std::uint64_t number = 0;
        TimePoint at;
        /// The service of each route.
        std::map<RouteKey, ServiceName> services;
    };

    void publish(Version version) { versions_.push_back(std::move(version)); }
    [[nodiscard]] const std::vector<Version> &all() const { return versions_; }

    /// The oldest version that a node may still act on at @p at, when changes are in force after @p bound.
    [[nodiscard]] std::uint64_t oldestInForce(TimePoint at, Duration bound) const;
    /// The newest version at @p at.
    [[nodiscard]] std::uint64_t newest(TimePoint at) const;

private:
    std::vector<Version> versions_;
};

}

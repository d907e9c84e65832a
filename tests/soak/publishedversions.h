#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Identifies a route over all versions, for example "read" or "new-7".
using RouteKey = Name<struct RouteKeyTag>;

/// The versions of the routes that were published, and when. Thread safety: none.
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

    /// The oldest version that a node may still use at @p at, when changes have to be active after @p bound.
    [[nodiscard]] std::uint64_t oldestActive(TimePoint at, Duration bound) const;
    /// The newest version that was published at @p at or earlier.
    [[nodiscard]] std::uint64_t newest(TimePoint at) const;

private:
    std::vector<Version> versions_;
};

}

#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "core/random.h"
#include "routes/routetable.h"
#include "soak/publishedversions.h"
#include "standins/standinstore.h"

namespace Egretpath
{

/// One route that callers use.
struct CallerRoute
{
    RouteKey key;
    RequestKind kind = RequestKind::Safe;
    ServiceName service;
    Milliseconds target{300};
    Milliseconds timeout{900};
    /// How long a caller of this route waits for the answer.
    Milliseconds callerTimeout{1500};
    std::uint32_t priority = 2;
    /// Share of all requests; zero for a route that only upstreams call.
    double share = 0.0;
    /// The only region in which the route may be served; empty: all.
    std::string region;
};

/// Publishes versions of the routes in the store, as operators do. Thread safety: none.
class RoutePublisher
{
public:
    RoutePublisher(StandinStore &store, PublishedVersions &versions, Random random);

    /// Publishes the next version. It adds one route, removes the oldest added route once there are more than two of
    /// these, and moves one route to another service.
    void publishNext();
    /// Publishes a text that is no valid configuration. The nodes must keep their active routes.
    void publishInvalid();
    /// Sets the number of routes that no caller uses; later versions contain them.
    void setIdleRoutes(unsigned count) { idleRoutes_ = count; }

    /// Adds a route that every later version contains.
    void addRoute(CallerRoute route) { routes_.push_back(std::move(route)); }
    /// Routes that every version contains.
    [[nodiscard]] const std::vector<CallerRoute> &routes() const { return routes_; }
    /// The route that moves between services, as the newest version has it.
    [[nodiscard]] CallerRoute movingRoute() const;
    /// The route that the newest version added.
    [[nodiscard]] CallerRoute newestRoute() const;
    [[nodiscard]] static std::string prefixOf(const RouteKey &route);
    [[nodiscard]] static std::string host() { return "intake.example"; }

private:
    [[nodiscard]] std::vector<CallerRoute> currentRoutes() const;
    [[nodiscard]] std::string configText(const std::vector<CallerRoute> &routes) const;

    StandinStore &store_;
    PublishedVersions &versions_;
    Random random_;
    std::vector<CallerRoute> routes_;
    std::uint64_t version_ = 0;
    /// Number of published versions. Version numbers rise in uneven steps, so they differ from this count.
    unsigned publishedCount_ = 0;
    unsigned idleRoutes_ = 8;
};

}

#pragma once

#include <cstdint>
#include <string>
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
    /// How long its callers wait.
    Milliseconds patience{1500};
    std::uint32_t priority = 2;
    /// Of all requests; zero for calls that only upstreams make.
    double share = 0.0;
};

/// Publishes routes in the store, as the operators do. Thread safety: none.
class Operators
{
public:
    Operators(StandinStore &store, PublishedVersions &versions, Random random);

    /// Publishes the next version: a route is added, one of the newer ones goes, and one moves to another service.
    void publishNext();
    /// A text that is no configuration: what is in force has to stay.
    void publishBroken();
    /// From now on the configuration has @p count routes that nobody uses.
    void setIdleRoutes(unsigned count) { idleRoutes_ = count; }

    /// Routes that are always there.
    [[nodiscard]] const std::vector<CallerRoute> &routes() const { return routes_; }
    /// The route that moves between services.
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
    /// Counts published versions: numbers rise in uneven steps.
    unsigned published_ = 0;
    unsigned idleRoutes_ = 8;
};

}

#include "egress/servingcheck.h"

#include <utility>

#include "routing/upstreamcandidates.h"

namespace Egretpath
{

ServingCheck::ServingCheck(Location location, const RouteTablePointer &routes, const EvacuatedZones &evacuatedZones)
    : location_(std::move(location))
    , routes_(routes)
    , evacuatedZones_(evacuatedZones)
{
}

std::optional<Failure> ServingCheck::evacuationRejection() const
{
    if (!evacuatedZones_.isKnown()) {
        return notRun(Reason::ZoneEvacuated, "it is not known yet whether the zone is evacuated");
    }
    if (evacuatedZones_.contains(location_.zone)) {
        return notRun(Reason::ZoneEvacuated, "the zone of the upstream is evacuated");
    }
    return std::nullopt;
}

std::optional<Failure> ServingCheck::rejection(const CallHead &head) const
{
    if (auto evacuated = evacuationRejection()) {
        return evacuated;
    }
    if (!routes_ || routes_->version() < head.routesVersion) {
        return std::nullopt;
    }
    const Route *route = routeOf(head);
    // A node of an earlier version does not name its routes, which may be newer.
    const bool isOlder = head.routesVersion.value() > 0 && head.routesVersion < routes_->version();
    if (auto moved = isOlder ? serviceRejection(route, head.service) : std::nullopt) {
        return moved;
    }
    return route != nullptr ? locationRejection(location_, *route) : std::nullopt;
}

bool ServingCheck::isDownload(const CallHead &head) const
{
    const Route *route = routes_ ? routeOf(head) : nullptr;
    return route != nullptr && route->kind == RequestKind::Download;
}

const Route *ServingCheck::routeOf(const CallHead &head) const
{
    return routes_->match(head.headers.find("Host").value_or(std::string_view()), head.target);
}

}

#include "routing/upstreamcandidates.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// The retry delay if a route's regions have no upstream: operators have to change the routes or start upstreams.
constexpr Milliseconds MissingUpstreamDelay{1000};
/// The retry delay if all zones that a request may be served in are evacuated. Evacuations last seconds or longer.
constexpr Milliseconds EvacuationDelay{1000};

}

UpstreamCandidates findCandidates(const InstanceDirectory &directory, const EvacuatedZones &evacuatedZones,
                                  const ServiceName &service, const Route &route)
{
    UpstreamCandidates candidates;
    for (const InstanceRecord *record : directory.ready(service)) {
        if (!route.regions.allows(record->location.region)) {
            ++candidates.outsideRegions;
            continue;
        }
        if (evacuatedZones.contains(record->location.zone)) {
            ++candidates.evacuated;
            continue;
        }
        candidates.allowed.push_back({record->id, record->location, record->warmUp.count() > 0});
    }
    return candidates;
}

Failure noCandidateFailure(const UpstreamCandidates &candidates)
{
    if (!candidates.allowed.empty()) {
        return notRun(Reason::NoUpstream, "no upstream is left to ask");
    }
    if (candidates.evacuated > 0) {
        return notRun(Reason::ZoneEvacuated, "all zones that have an upstream for it are evacuated", EvacuationDelay);
    }
    if (candidates.outsideRegions > 0) {
        return notRun(Reason::OutsideRegions, "no upstream is listed in the regions of the route",
                      MissingUpstreamDelay);
    }
    return notRun(Reason::NoUpstream, "no upstream is listed");
}

std::optional<Failure> serviceRejection(const Route *route, const ServiceName &service)
{
    if (route == nullptr) {
        return notRun(Reason::OlderRoutes, "newer routes have none for the request");
    }
    const bool isServed =
        std::any_of(route->destinations.begin(), route->destinations.end(), [&service](const Destination &destination) {
            return destination.service == service && destination.weight > 0;
        });
    return isServed ? std::nullopt
                    : std::optional(notRun(Reason::OlderRoutes, "newer routes send the request to another service"));
}

std::optional<Failure> locationRejection(const Location &location, const Route &route)
{
    if (!route.regions.allows(location.region)) {
        return notRun(Reason::OutsideRegions, "the route may not be served in the upstream's region");
    }
    return std::nullopt;
}

}

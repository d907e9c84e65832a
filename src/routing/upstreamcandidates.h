#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "core/verdict.h"
#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "routes/routetable.h"
#include "routing/placement.h"

namespace Egretpath
{

/// The upstreams of a service to which a request may be sent, and how many others are ruled out by its route or by an
/// evacuation.
struct UpstreamCandidates
{
    std::vector<PlacementCandidate> allowed;
    std::size_t outsideRegions = 0;
    /// Upstreams in the regions of the route whose zones are evacuated.
    std::size_t evacuated = 0;
};

/// Returns the candidates for every way in which a request can be sent: first tries, retries, dry runs and streamed
/// bodies. Thread safety: safe. Errors: none.
[[nodiscard]] UpstreamCandidates findCandidates(const InstanceDirectory &directory,
                                                const EvacuatedZones &evacuatedZones, const ServiceName &service,
                                                const Route &route);
/// Returns why no upstream can be chosen. Precondition: all of @p candidates were excluded, or there are none.
[[nodiscard]] Failure noCandidateFailure(const UpstreamCandidates &candidates);

/// Returns why a request must not be handed over to an upstream of @p service if @p route is its route, or null if it
/// has none; nothing if it may be. Thread safety: safe.
[[nodiscard]] std::optional<Failure> serviceRejection(const Route *route, const ServiceName &service);
/// Returns why a request of @p route must not be handed over to an upstream at @p location; nothing if it may be.
/// Thread safety: safe.
[[nodiscard]] std::optional<Failure> locationRejection(const Location &location, const Route &route);

}

#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/verdict.h"
#include "http/httphead.h"
#include "ingress/ingresscontext.h"

namespace Egretpath
{

/// The route and the time limits of a request, from its head and from the active routes.
struct RequestParameters
{
    CallerMetadata caller;
    /// The routes that were active when the request arrived; null if there were none.
    RouteTablePointer routes;
    /// The route that matches the request; null if none does.
    const Route *route = nullptr;
    TimePoint arrival;
    TimePoint deadline;
    /// An answer after this time is worth little to the caller.
    TimePoint targetTime;
    /// 0 is the most urgent. A call by the upstream beside the node has at least the priority of the requests that make
    /// such calls.
    std::uint32_t priority = 0;
    /// Whether this node has evidence that the request is a call by the upstream beside it.
    bool isDependent = false;
    /// Why the node took the request, as last judged.
    StopBasis takenBy = StopBasis::NotStopping;

    /// Whether a late answer is worth no more to the caller than no answer.
    [[nodiscard]] bool isUrgent() const { return targetTime == deadline; }
    /// Whether the caller seems to come back after a refusal. Precondition: isUrgent() is false.
    [[nodiscard]] bool isComingBack() const { return targetTime < arrival + route->targetLatency; }
};

/// Reads @p head into @p parameters. Returns why the request is refused, or nothing. Preconditions: arrival and routes
/// are set. Thread safety: none. Errors, all NotRun: BadRequest, NoTable, NoRoute, Draining.
[[nodiscard]] std::optional<Failure> readParameters(IngressContext &context, const HttpRequestHead &head,
                                                    RequestParameters &parameters);
/// Returns why a stopping node refuses the request, or nothing if the node takes it; sets takenBy. Precondition:
/// readParameters() found a route. Thread safety: none.
[[nodiscard]] std::optional<Failure> stopRejection(IngressContext &context, RequestParameters &parameters);
/// Returns the longest delay after which the caller still comes back. Thread safety: none.
[[nodiscard]] Milliseconds longestRetryDelay(const RequestParameters &parameters);
/// Returns the delay after which a refused caller may retry. It is @p preferred, or a default if that is zero, plus a
/// random part, so that callers refused together don't retry together. It is never so long that the caller gives up.
/// Thread safety: none.
[[nodiscard]] Milliseconds retryDelay(IngressContext &context, const RequestParameters &parameters,
                                      Milliseconds preferred);

}

#pragma once

#include <optional>

#include "core/clock.h"
#include "core/verdict.h"
#include "http/httphead.h"
#include "ingress/ingresscontext.h"

namespace Egretpath
{

/// What a request asks for and until when, as its head and the routes in force say.
struct RequestTerms
{
    CallerMetadata caller;
    /// Those of its arrival; null if there were none.
    RouteTablePointer routes;
    /// One of them; null if none takes it.
    const Route *route = nullptr;
    TimePoint arrival;
    TimePoint deadline;
    /// Later than this an answer is worth little.
    TimePoint target;

    /// Its caller fails with a late answer as without one.
    [[nodiscard]] bool isUrgent() const { return target == deadline; }
};

/// Reads @p head into @p terms. Returns why the request can't be served, or nothing. Preconditions: arrival and routes
/// are set. Thread safety: none. Errors, all NotRun: BadRequest, NoTable, NoRoute, Draining.
[[nodiscard]] std::optional<Failure> readTerms(IngressContext &context, const HttpRequestHead &head,
                                               RequestTerms &terms);
/// Why a node that stops does not take the request; nothing if it does. Precondition: readTerms() found a route.
/// Thread safety: none.
[[nodiscard]] std::optional<Failure> stopRefusal(IngressContext &context, const RequestTerms &terms);
/// When a caller may come back that is to wait for @p wanted: spread, so that those who were refused together don't
/// return together; never so late that the caller gives up. Thread safety: none.
[[nodiscard]] Milliseconds retryDelay(IngressContext &context, const RequestTerms &terms, Milliseconds wanted);

}

#include "ingress/requestparameters.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

/// The retry delay if no better value is known.
constexpr Milliseconds DefaultRetryDelay{150};
/// A process that has exited is started again within about a second.
constexpr Milliseconds RestartTime{1000};
/// Callers honour a retry delay of up to a third of the time that they have left.
constexpr int MaxRetryDelayDivisor = 3;
/// The timeout assumed for a caller that gives none and whose request matches no route.
constexpr Milliseconds DefaultTimeout{1000};

/// Returns whether the request is a call by the upstream beside the node, and sets what follows from that.
CallDecision recordArrival(IngressContext &context, RequestParameters &parameters)
{
    const Route &route = *parameters.route;
    const CallDecision decision =
        context.egress.calls().onArrival(route.name, parameters.deadline - parameters.arrival, parameters.arrival);
    parameters.priority = std::min<std::uint32_t>(route.priority, decision.parentPriority.value_or(UINT8_MAX));
    context.requestLog.recordCall(route.name, decision);
    parameters.isDependent = decision.standing == CallStanding::Dependent;
    return decision;
}

TimePoint findTargetTime(IngressContext &context, RequestParameters &parameters)
{
    const Route &route = *parameters.route;
    parameters.priority = route.priority;
    if (!parameters.caller.timeout) {
        return parameters.arrival + route.targetLatency;
    }
    const CallDecision decision = recordArrival(context, parameters);
    const Milliseconds elapsed = context.callerTimeouts.record(route.name, *parameters.caller.timeout);
    const Milliseconds typical = context.callerTimeouts.typical(route.name);
    // Without evidence, callers with a short timeout count as dependent.
    const bool isGuessed = decision.standing == CallStanding::Unknown && typical.count() > 0
        && typical <= route.targetLatency * context.settings.dependentTimeoutFactor;
    if (decision.isDependent() || isGuessed) {
        // Until the deadline a late answer is worth as much as one in time, since the caller's own work waits for it.
        // Callers that fail soon after the target are served alike.
        return parameters.deadline;
    }
    return parameters.arrival + route.targetLatency - elapsed;
}

}

std::optional<Failure> readParameters(IngressContext &context, const HttpRequestHead &head,
                                      RequestParameters &parameters)
{
    Result<CallerMetadata> caller = context.dialect.read(head.headers);
    if (!caller) {
        return caller.error();
    }
    parameters.caller = std::move(caller).value();
    if (!parameters.routes || !context.sources.evacuatedZones.isKnown()) {
        if (context.noRoutesListener) {
            context.noRoutesListener();
        }
        const Milliseconds retryAfter = retryDelay(context, parameters, DefaultRetryDelay);
        return notRun(Reason::NoTable, "no routes are active yet, or it is not known yet which zones are evacuated",
                      retryAfter);
    }
    parameters.route = parameters.routes->match(head.headers.find("Host").value_or(std::string_view()), head.target);
    if (parameters.route == nullptr && context.mayLackRoutes()) {
        return notRun(Reason::NoTable, "no route takes this host and path, but this node may lack newer routes",
                      retryDelay(context, parameters, DefaultRetryDelay));
    }
    if (parameters.route == nullptr) {
        return notRun(Reason::NoRoute, "no route takes this host and path");
    }
    const Milliseconds timeout = parameters.route->timeout;
    parameters.deadline = parameters.arrival + std::min(parameters.caller.timeout.value_or(timeout), timeout);
    parameters.targetTime = findTargetTime(context, parameters);
    return stopRejection(context, parameters);
}

std::optional<Failure> stopRejection(IngressContext &context, RequestParameters &parameters)
{
    const TimePoint now = currentTime();
    if (const auto basis = context.stop.accepts(parameters.route->name, parameters.deadline, now)) {
        parameters.takenBy = *basis;
        return std::nullopt;
    }
    const auto retryAfter = std::chrono::ceil<Milliseconds>(context.stop.timeLeft(now)) + RestartTime;
    return notRun(Reason::Draining, "the node may end before the answer", retryDelay(context, parameters, retryAfter));
}

Milliseconds longestRetryDelay(const RequestParameters &parameters)
{
    const Milliseconds timeout = parameters.route != nullptr ? parameters.route->timeout : DefaultTimeout;
    const Milliseconds callerTimeout = parameters.caller.timeout.value_or(timeout);
    const auto left = std::chrono::duration_cast<Milliseconds>(parameters.arrival + callerTimeout - currentTime());
    return std::max(left / MaxRetryDelayDivisor, Milliseconds{1});
}

Milliseconds retryDelay(IngressContext &context, const RequestParameters &parameters, Milliseconds preferred)
{
    const double base = static_cast<double>(preferred.count() > 0 ? preferred.count() : DefaultRetryDelay.count());
    std::uniform_real_distribution<double> spread(1.0, 1.0 + context.settings.retryAfterSpread);
    return std::min(Milliseconds(static_cast<Milliseconds::rep>(base * spread(context.random))),
                    longestRetryDelay(parameters));
}

}

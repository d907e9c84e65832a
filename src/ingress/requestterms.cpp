#include "ingress/requestterms.h"

#include <algorithm>
#include <random>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

/// Return times when nothing tells a better one.
constexpr Milliseconds DefaultReturnTime{150};
/// A process that ended is started again within about a second.
constexpr Milliseconds RestartTime{1000};
/// Callers honour return times up to a third of the time that they have left.
constexpr int LeftOverReturnTime = 3;
/// Of a caller that says nothing, while no routes say more.
constexpr Milliseconds UnknownPatience{1000};

TimePoint findTarget(IngressContext &context, const RequestTerms &terms)
{
    const Route &route = *terms.route;
    if (!terms.caller.patience) {
        return terms.arrival + route.targetLatency;
    }
    const Milliseconds tried = context.patience.record(route.name, *terms.caller.patience);
    const Milliseconds usual = context.patience.usual(route.name);
    if (usual.count() > 0 && usual <= route.targetLatency * context.settings.patienceOfDependents) {
        // Its caller fails soon after the target: there is no time in which a late answer is better than none.
        return terms.deadline;
    }
    return terms.arrival + route.targetLatency - tried;
}

}

std::optional<Failure> readTerms(IngressContext &context, const HttpRequestHead &head, RequestTerms &terms)
{
    Result<CallerMetadata> caller = context.dialect.read(head.headers);
    if (!caller) {
        return caller.error();
    }
    terms.caller = std::move(caller).value();
    if (!terms.routes) {
        if (context.noRoutesListener) {
            context.noRoutesListener();
        }
        const Milliseconds back = retryDelay(context, terms, DefaultReturnTime);
        return notRun(Reason::NoTable, "no routes are in force yet", back);
    }
    terms.route = terms.routes->match(head.headers.find("Host").value_or(std::string_view()), head.target);
    if (terms.route == nullptr) {
        return notRun(Reason::NoRoute, "no route takes this host and path");
    }
    const Milliseconds timeout = terms.route->timeout;
    terms.deadline = terms.arrival + std::min(terms.caller.patience.value_or(timeout), timeout);
    terms.target = findTarget(context, terms);
    return stopRefusal(context, terms);
}

std::optional<Failure> stopRefusal(IngressContext &context, const RequestTerms &terms)
{
    const TimePoint now = currentTime();
    if (context.stop.takes(terms.route->name, terms.deadline, now)) {
        return std::nullopt;
    }
    const auto back = std::chrono::ceil<Milliseconds>(context.stop.timeLeft(now)) + RestartTime;
    return notRun(Reason::Draining, "the node may end before the answer", retryDelay(context, terms, back));
}

Milliseconds retryDelay(IngressContext &context, const RequestTerms &terms, Milliseconds wanted)
{
    const double base = static_cast<double>(wanted.count() > 0 ? wanted.count() : DefaultReturnTime.count());
    std::uniform_real_distribution<double> spread(1.0, 1.0 + context.settings.retryAfterSpread);
    const Milliseconds timeout = terms.route != nullptr ? terms.route->timeout : UnknownPatience;
    const Milliseconds patience = terms.caller.patience.value_or(timeout);
    const auto left = std::chrono::duration_cast<Milliseconds>(terms.arrival + patience - currentTime());
    const auto most = std::max(left / LeftOverReturnTime, Milliseconds{1});
    return std::min(Milliseconds(static_cast<Milliseconds::rep>(base * spread(context.random))), most);
}

}

#include "ingress/ingresscontext.h"

#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

/// Of the newest report in the usual time of a route; reports are means already.
constexpr double BaselineTimeGain = 0.1;
/// How long nothing is sent to an upstream that leaves or has been replaced; the platform's list says more by then.
constexpr Milliseconds DrainingHold{1000};
/// Share of its target that a route is taken to need before anything is known.
constexpr double DefaultShareOfTarget = 0.3;

}

IngressContext::IngressContext(boost::asio::any_io_executor executorOfRole, IngressPlace ownPlace,
                               IngressSources whatIsKnown, const CallerDialect &callers, EgressRole &ownEgress,
                               PeerClient &otherNodes, EventLog &log, Metrics &metrics, Random generator,
                               const IngressDecisions &decisions)
    : executor(std::move(executorOfRole))
    , place(std::move(ownPlace))
    , sources(whatIsKnown)
    , dialect(callers)
    , egress(ownEgress)
    , peers(otherNodes)
    , settings(decisions.ingress)
    , requestLog(log, metrics)
    , random(generator)
    , split(random())
    , view(decisions.view)
    , placement(place.location, view, Random(random()), decisions.placement)
{
}

Duration IngressContext::baselineTime(const Route &route) const
{
    const auto found = baselineMicroseconds_.find(route.name);
    if (found == baselineMicroseconds_.end()) {
        return std::chrono::duration_cast<Duration>(route.targetLatency * DefaultShareOfTarget);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(found->second));
}

void IngressContext::recordBaselineTime(const RouteName &route, const LoadReport &report)
{
    if (report.serviceTimeMicroseconds == 0) {
        return;
    }
    const double sample = report.serviceTimeMicroseconds;
    const auto [place, isNew] = baselineMicroseconds_.try_emplace(route, sample);
    if (!isNew) {
        place->second += BaselineTimeGain * (sample - place->second);
    }
}

void IngressContext::learn(const RouteName &route, const UpstreamName &upstream, const Endpoint &node,
                           const Result<CallOutcome> &outcome)
{
    if (!outcome) {
        learnFailure(upstream, outcome.error().reason);
        return;
    }
    if (node != place.node && outcomeListener) {
        outcomeListener(node, outcome.value());
    }
    if (const auto &report = outcome.value().report) {
        view.onReached(upstream);
        view.onReport(upstream, *report, currentTime());
        recordBaselineTime(route, *report);
        if (report->draining) {
            view.onDraining(upstream, DrainingHold, currentTime());
        }
    }
    if (const auto *answer = std::get_if<CompleteAnswer>(&outcome.value().result)) {
        sizes.record(route, Bytes(answer->body.size()));
    }
    if (const auto *failure = std::get_if<Failure>(&outcome.value().result)) {
        learnFailure(upstream, failure->reason);
    }
}

void IngressContext::learnFailure(const UpstreamName &upstream, Reason reason)
{
    const TimePoint at = currentTime();
    switch (reason) {
    case Reason::ConnectFailed:
        view.onUnreachable(upstream, at);
        break;
    case Reason::WrongIncarnation:
    case Reason::NoUpstream:
        view.onDraining(upstream, DrainingHold, at);
        break;
    case Reason::Declined:
    case Reason::Overloaded:
    case Reason::Draining:
    case Reason::Cancelled:
    case Reason::CrashesUpstreams:
        break;
    default:
        view.onFailed(upstream, at);
        break;
    }
}

}

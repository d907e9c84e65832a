#include "ingress/ingresscontext.h"

#include <limits>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

/// Weight of the newest report in the smoothed baseline time of a route. The times in reports are means already.
constexpr double BaselineTimeGain = 0.1;
/// How long no request is sent to an upstream that is draining, whose node is stopping, or that was replaced. By then
/// the platform's instance list shows the change.
constexpr Milliseconds DrainingHold{1000};
/// The baseline time of a route without reports, as a share of its target latency.
constexpr double DefaultBaselineShare = 0.3;

ServiceRoomSettings roomSettings(const IngressDecisionSettings &decisions)
{
    ServiceRoomSettings settings = decisions.room;
    settings.usualTries = decisions.ingress.maxDeclines + 1;
    return settings;
}

TryResult tryResult(const Result<CallOutcome> &outcome)
{
    const Failure *failure = outcome ? std::get_if<Failure>(&outcome.value().result) : &outcome.error();
    if (failure == nullptr || failure->verdict != Verdict::NotRun) {
        return TryResult::Taken;
    }
    return failure->reason == Reason::Overloaded ? TryResult::Overloaded : TryResult::Unknown;
}

}

IngressContext::IngressContext(boost::asio::any_io_executor roleExecutor, LocalNode thisNode,
                               IngressSources roleSources, const CallerDialect &callerDialect, EgressRole &egressRole,
                               PeerClient &peerClient, EventLog &log, Metrics &metrics, Random generator,
                               const IngressDecisionSettings &decisions)
    : executor(std::move(roleExecutor))
    , localNode(std::move(thisNode))
    , sources(roleSources)
    , dialect(callerDialect)
    , egress(egressRole)
    , peers(peerClient)
    , settings(decisions.ingress)
    , requestLog(log, metrics)
    , random(generator)
    , split(random())
    , view(decisions.view)
    , placement(localNode.location, view, Random(random()), decisions.placement)
    , room(roomSettings(decisions))
    , heldMessages(std::make_shared<HeldMessages>(Bytes(std::numeric_limits<std::uint32_t>::max()), log, metrics))
{
}

Duration IngressContext::baselineTime(const Route &route) const
{
    const auto found = baselineMicroseconds_.find(route.name);
    if (found == baselineMicroseconds_.end()) {
        return std::chrono::duration_cast<Duration>(route.targetLatency * DefaultBaselineShare);
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(found->second));
}

void IngressContext::recordBaselineTime(const RouteName &route, const LoadReport &report)
{
    if (report.serviceTimeMicroseconds == 0) {
        return;
    }
    const double sample = report.serviceTimeMicroseconds;
    const auto [entry, isNew] = baselineMicroseconds_.try_emplace(route, sample);
    if (!isNew) {
        entry->second += BaselineTimeGain * (sample - entry->second);
    }
}

void IngressContext::recordOutcome(const RouteName &route, const UpstreamName &upstream, const Endpoint &node,
                                   const Result<CallOutcome> &outcome)
{
    if (!outcome) {
        recordFailure(upstream, outcome.error().reason);
        return;
    }
    if (node != localNode.endpoint && outcomeListener) {
        outcomeListener(node, outcome.value());
    }
    if (outcome.value().isRouteDependent) {
        egress.calls().adopt(route, currentTime());
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
        recordFailure(upstream, failure->reason);
    }
}

void IngressContext::recordCapacity(const ServiceName &service, std::uint32_t priority, TimePoint sentAt,
                                    const Result<CallOutcome> &outcome)
{
    room.onEnded(service, priority, sentAt, tryResult(outcome), currentTime());
    for (const RoomState &change : room.takeChanges()) {
        requestLog.recordRoomChange(change);
    }
}

void IngressContext::recordFailure(const UpstreamName &upstream, Reason reason)
{
    const TimePoint now = currentTime();
    switch (reason) {
    case Reason::ConnectFailed:
        view.onUnreachable(upstream, now);
        break;
    case Reason::WrongIncarnation:
    case Reason::NoUpstream:
    case Reason::ZoneEvacuated:
        view.onDraining(upstream, DrainingHold, now);
        break;
    case Reason::Declined:
    case Reason::Overloaded:
    case Reason::RateLimited:
    case Reason::Draining:
    case Reason::Cancelled:
    case Reason::CrashesUpstreams:
    case Reason::OutsideRegions:
    case Reason::KeptConnectionLost:
    case Reason::OlderRoutes:
        break;
    default:
        view.onFailed(upstream, now);
        break;
    }
}

}

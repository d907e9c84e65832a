#include "soak/faultinjector.h"

#include <algorithm>
#include <csignal>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Interval at which a process is checked for its exit or restart.
constexpr Milliseconds ProcessPollInterval{20};
constexpr Milliseconds LinkDelay{150};
/// An upstream still serves for this time after its entry in the store says that it is draining.
constexpr Milliseconds DrainTime{2500};
/// The entry of a crashed upstream expires after three missed heartbeats.
constexpr Milliseconds EntryExpiryTime{1500};
/// Time between the removal of an upstream's entry from the store and the start of the next upstream at the same
/// address.
constexpr Milliseconds AddressReuseDelay{2000};
/// Time between the crash of an upstream by a request and the start of the next one.
constexpr Milliseconds CrashRestartDelay{700};
/// How long upstreams are cold after an evacuation.
constexpr Milliseconds WarmUpTime{1500};
constexpr Milliseconds StormInterval{150};
/// How long the watches of the store hang at most.
constexpr Milliseconds MaxHangTime{1200};
constexpr unsigned ManyIdleRoutes = 300;
constexpr unsigned UsualIdleRoutes = 8;
constexpr double BurstRateFactor = 2.5;
constexpr double HighDisconnectShare = 0.4;
constexpr double UsualDisconnectShare = 0.02;
/// A process that has exited must run again within this time.
constexpr Milliseconds StartTimeout{8000};

}

const std::vector<FaultInjector::Definition> FaultInjector::Definitions{
    {FaultKind::NodeKill, &FaultInjector::killNode, FaultCategory::Unplanned, false},
    {FaultKind::NodePause, &FaultInjector::pauseNode, FaultCategory::Unplanned, false},
    {FaultKind::NodeStop, &FaultInjector::stopNode, FaultCategory::Planned, false},
    {FaultKind::NodeReload, &FaultInjector::reloadNode, FaultCategory::Planned, false},
    {FaultKind::NodesKilledTogether, &FaultInjector::killNodesTogether, FaultCategory::Unplanned, true},
    {FaultKind::LinkDelay, &FaultInjector::impairLink, FaultCategory::Unplanned, false},
    {FaultKind::LinkReset, &FaultInjector::resetLink, FaultCategory::Unplanned, false},
    {FaultKind::LinkOneWay, &FaultInjector::impairLink, FaultCategory::Unplanned, false},
    {FaultKind::LinkCut, &FaultInjector::impairLink, FaultCategory::Unplanned, false},
    {FaultKind::LinkSilence, &FaultInjector::silenceLink, FaultCategory::Unplanned, false},
    {FaultKind::StoreLinkCut, &FaultInjector::cutStoreLink, FaultCategory::Store, false},
    {FaultKind::StoreLinkReset, &FaultInjector::resetStoreLink, FaultCategory::Store, false},
    {FaultKind::StoreLinkSilence, &FaultInjector::silenceStoreLink, FaultCategory::Store, false},
    {FaultKind::StoreDown, &FaultInjector::impairStore, FaultCategory::Store, true},
    {FaultKind::StoreBusy, &FaultInjector::impairStore, FaultCategory::Store, true},
    {FaultKind::StoreSlow, &FaultInjector::impairStore, FaultCategory::Store, true},
    {FaultKind::StoreAnswersLost, &FaultInjector::impairStore, FaultCategory::Store, true},
    {FaultKind::StoreCompact, &FaultInjector::compactStore, FaultCategory::Store, true},
    {FaultKind::StoreWatchesHang, &FaultInjector::hangWatches, FaultCategory::Store, true},
    {FaultKind::StoreWatchAnswersLost, &FaultInjector::loseWatchAnswers, FaultCategory::Store, true},
    {FaultKind::UpstreamSlow, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamFailing, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamAnswersLost, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamCutsAnswers, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamUnsigned, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamRefusing, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamHangs, &FaultInjector::impairUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamReplaced, &FaultInjector::replaceUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamCrash, &FaultInjector::crashUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamCrashedByRequest, &FaultInjector::crashByRequest, FaultCategory::Upstream, true},
    {FaultKind::ZoneEvacuated, &FaultInjector::evacuateZone, FaultCategory::Upstream, true},
    {FaultKind::UpstreamCold, &FaultInjector::coolUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamLimits, &FaultInjector::limitUpstream, FaultCategory::Upstream, false},
    {FaultKind::UpstreamLeavesByAnswer, &FaultInjector::stateLeaving, FaultCategory::Upstream, false},
    {FaultKind::CallerBurst, &FaultInjector::burstCallers, FaultCategory::Upstream, true},
    {FaultKind::CallersLeave, &FaultInjector::disconnectCallers, FaultCategory::Upstream, true},
    {FaultKind::RoutesChange, &FaultInjector::changeRoutes, FaultCategory::Planned, true},
    {FaultKind::RoutesStorm, &FaultInjector::publishRouteStorm, FaultCategory::Planned, true},
    {FaultKind::RoutesGrow, &FaultInjector::growRoutes, FaultCategory::Planned, true},
};

FaultInjector::FaultInjector(asio::io_context &context, SoakDeployment &deployment, StandinStore &store,
                             RoutePublisher &routePublisher, SoakCallers &callers, FaultHistory &faultHistory,
                             PromiseChecker &checker, DeploymentOptions options)
    : context_(context)
    , deployment_(deployment)
    , store_(store)
    , routePublisher_(routePublisher)
    , callers_(callers)
    , faultHistory_(faultHistory)
    , checker_(checker)
    , options_(std::move(options))
{
}

asio::awaitable<void> FaultInjector::inject(PlannedFault fault)
{
    const auto definition = std::find_if(Definitions.begin(), Definitions.end(),
                                         [&fault](const Definition &known) { return known.kind == fault.kind; });
    const NodeNumber node = definition->affectsAllNodes ? AllNodes : fault.node;
    faultHistory_.begin(node, definition->category, currentTime());
    co_await (this->*definition->action)(fault);
    faultHistory_.end(node, definition->category, currentTime());
}

asio::awaitable<void> FaultInjector::waitUntilRunning(const Member &member, unsigned startCount)
{
    const TimePoint limit = currentTime() + StartTimeout;
    while (member.process->startCount() == startCount && currentTime() < limit) {
        co_await sleepFor(ProcessPollInterval);
    }
    if (member.process->startCount() == startCount) {
        checker_.recordViolation("runs on", "node " + std::to_string(member.number) + " was not started again");
    }
}

asio::awaitable<void> FaultInjector::killAndWait(Member &member)
{
    const unsigned startCount = member.process->startCount();
    if (member.process->isRunning()) {
        member.isExitExpected = true;
        member.process->signal(SIGKILL);
        co_await waitUntilRunning(member, startCount);
    }
}

asio::awaitable<void> FaultInjector::killNode(PlannedFault fault)
{
    co_await killAndWait(deployment_.member(fault.node));
}

asio::awaitable<void> FaultInjector::killNodesTogether(PlannedFault fault)
{
    for (const auto &member : deployment_.members()) {
        if ((member->number + fault.node) % 3 != 0 && member->process->isRunning()) {
            member->isExitExpected = true;
            member->process->signal(SIGKILL);
        }
    }
    co_await sleepFor(fault.length);
}

/// A paused process acts on outdated state when it resumes.
asio::awaitable<void> FaultInjector::pauseNode(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    member.process->signal(SIGSTOP);
    co_await sleepFor(fault.length);
    member.process->signal(SIGCONT);
}

asio::awaitable<void> FaultInjector::stopNode(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    if (!stoppingNodes_.insert(fault.node).second) {
        co_return;
    }
    const unsigned startCount = member.process->startCount();
    member.isExitExpected = member.process->isRunning();
    member.process->signal(SIGTERM);
    const TimePoint limit = currentTime() + options_.grace;
    while (member.process->startCount() == startCount && member.process->isRunning() && currentTime() < limit) {
        co_await sleepFor(ProcessPollInterval);
    }
    if (member.process->startCount() == startCount && member.process->isRunning()) {
        const bool isFaultFreeStop =
            faultHistory_.isFaultFree(fault.node, FaultCategory::Unplanned, limit - options_.grace, limit);
        if (isFaultFreeStop) {
            checker_.recordViolation("a planned stop ends in time",
                                     "node " + std::to_string(fault.node) + " still runs");
        }
        member.process->signal(SIGKILL);
    }
    co_await waitUntilRunning(member, startCount);
    stoppingNodes_.erase(fault.node);
}

/// Reloads a settings file that can't be parsed, then the original one. The node must keep its active settings
/// meanwhile.
asio::awaitable<void> FaultInjector::reloadNode(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    deployment_.writeInvalidSettings(member);
    member.process->signal(SIGHUP);
    co_await sleepFor(std::min(fault.length, Milliseconds{300}));
    deployment_.writeSettings(member, options_.retrySlack);
    member.process->signal(SIGHUP);
}

asio::awaitable<void> FaultInjector::impairLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    if (!member.peerLink) {
        co_return;
    }
    RelayConditions conditions;
    conditions.delay = fault.kind == FaultKind::LinkDelay ? Duration(LinkDelay) : Duration{0};
    conditions.holdRequests = fault.kind == FaultKind::LinkOneWay;
    conditions.partitioned = fault.kind == FaultKind::LinkCut;
    // Requests of other nodes to this node's upstream pass over the same link, so the fault is also recorded for all
    // nodes, in category Upstream.
    faultHistory_.begin(AllNodes, FaultCategory::Upstream, currentTime());
    member.peerLink->setConditions(conditions);
    co_await sleepFor(fault.length);
    member.peerLink->setConditions(RelayConditions());
    faultHistory_.end(AllNodes, FaultCategory::Upstream, currentTime());
}

asio::awaitable<void> FaultInjector::resetLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    if (member.peerLink) {
        member.peerLink->reset(true);
        co_await sleepFor(fault.length / 4);
        member.peerLink->reset(false);
    }
}

asio::awaitable<void> FaultInjector::silenceLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    if (member.peerLink) {
        member.peerLink->silenceOpenConnections();
        co_await sleepFor(fault.length);
    }
}

asio::awaitable<void> FaultInjector::cutStoreLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    RelayConditions cut;
    cut.partitioned = true;
    member.storeLink->setConditions(cut);
    co_await sleepFor(fault.length);
    member.storeLink->setConditions(RelayConditions());
}

asio::awaitable<void> FaultInjector::resetStoreLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    member.storeLink->reset(true);
    co_await sleepFor(fault.length);
    member.storeLink->reset(false);
}

asio::awaitable<void> FaultInjector::silenceStoreLink(PlannedFault fault)
{
    deployment_.member(fault.node).storeLink->silenceOpenConnections();
    co_await sleepFor(fault.length);
}

asio::awaitable<void> FaultInjector::impairStore(PlannedFault fault)
{
    const StoreMode mode = fault.kind == FaultKind::StoreDown ? StoreMode::Down
        : fault.kind == FaultKind::StoreBusy                  ? StoreMode::Busy
        : fault.kind == FaultKind::StoreSlow                  ? StoreMode::Slow
                                                              : StoreMode::AnswersLost;
    store_.setMode(mode);
    co_await sleepFor(fault.length);
    store_.setMode(StoreMode::Up);
}

/// The store answers all calls but watches, and forgets its history at the end.
asio::awaitable<void> FaultInjector::hangWatches(PlannedFault fault)
{
    store_.setWatchesSilent(true);
    co_await sleepFor(std::min(fault.length, MaxHangTime));
    store_.compact();
    store_.setWatchesSilent(false);
}

asio::awaitable<void> FaultInjector::loseWatchAnswers(PlannedFault fault)
{
    store_.setWatchAnswersLost(true);
    co_await sleepFor(fault.length);
    store_.setWatchAnswersLost(false);
}

asio::awaitable<void> FaultInjector::compactStore(PlannedFault /*fault*/)
{
    store_.compact();
    co_return;
}

asio::awaitable<void> FaultInjector::impairUpstream(PlannedFault fault)
{
    constexpr double SlowFactor = 6.0;
    constexpr double HighShare = 0.4;
    constexpr double LowShare = 0.1;
    UpstreamFaults faults;
    faults.slowFactor = fault.kind == FaultKind::UpstreamSlow ? SlowFactor : 1.0;
    faults.failingShare = fault.kind == FaultKind::UpstreamFailing ? HighShare : 0.0;
    faults.lostAnswerShare = fault.kind == FaultKind::UpstreamAnswersLost ? LowShare : 0.0;
    faults.truncatedShare = fault.kind == FaultKind::UpstreamCutsAnswers ? LowShare : 0.0;
    faults.unsignedShare = fault.kind == FaultKind::UpstreamUnsigned ? LowShare : 0.0;
    faults.isRefusing = fault.kind == FaultKind::UpstreamRefusing;
    faults.hangingShare = fault.kind == FaultKind::UpstreamHangs ? HighShare : 0.0;
    Member &member = deployment_.member(fault.node);
    member.upstream->faults() = faults;
    co_await sleepFor(fault.length);
    member.upstream->faults() = UpstreamFaults();
}

/// The upstream reports that it is draining and serves for a while longer. Then it exits, and another upstream starts
/// at its address.
asio::awaitable<void> FaultInjector::replaceUpstream(PlannedFault fault)
{
    if (!replacedUpstreams_.insert(fault.node).second) {
        co_return;
    }
    Member &member = deployment_.member(fault.node);
    deployment_.registerUpstream(member, true);
    checker_.recordDraining(member.upstreamId, currentTime());
    member.upstream->drain();
    co_await sleepFor(DrainTime);
    deployment_.unregisterUpstream(member.upstreamId);
    member.upstream->crash();
    co_await sleepFor(AddressReuseDelay);
    deployment_.startUpstream(member);
    replacedUpstreams_.erase(fault.node);
}

asio::awaitable<void> FaultInjector::crashUpstream(PlannedFault fault)
{
    if (!replacedUpstreams_.insert(fault.node).second) {
        co_return;
    }
    Member &member = deployment_.member(fault.node);
    member.upstream->crash();
    co_await sleepFor(EntryExpiryTime);
    deployment_.unregisterUpstream(member.upstreamId);
    co_await sleepFor(AddressReuseDelay);
    deployment_.startUpstream(member);
    replacedUpstreams_.erase(fault.node);
}

asio::awaitable<void> FaultInjector::crashByRequest(PlannedFault fault)
{
    asio::co_spawn(context_, callers_.sendCrashing(fault.length), asio::detached);
    co_await sleepFor(fault.length);
}

void FaultInjector::onUpstreamCrashed(Member &member)
{
    asio::co_spawn(context_, restartUpstream(member), asio::detached);
}

/// The entry of the crashed upstream expires some time after its successor has started.
asio::awaitable<void> FaultInjector::restartUpstream(Member &member)
{
    if (!replacedUpstreams_.insert(member.number).second) {
        co_return;
    }
    const UpstreamName crashedUpstream = member.upstreamId;
    co_await sleepFor(CrashRestartDelay);
    deployment_.startUpstream(member);
    replacedUpstreams_.erase(member.number);
    co_await sleepFor(EntryExpiryTime);
    deployment_.unregisterUpstream(crashedUpstream);
}

/// The upstreams of the zone are cold when the evacuation ends.
asio::awaitable<void> FaultInjector::evacuateZone(PlannedFault fault)
{
    const std::string zone = deployment_.member(fault.node).zone;
    if (!evacuatedZones_.insert(zone).second) {
        co_return;
    }
    store_.put("op/evacuate/" + zone, "{}");
    checker_.upstreamPromises().beginEvacuation(zone, currentTime());
    co_await sleepFor(fault.length);
    for (const auto &member : deployment_.members()) {
        if (member->zone == zone) {
            startWarmUp(*member, WarmUpTime);
        }
    }
    checker_.upstreamPromises().endEvacuation(zone);
    store_.remove("op/evacuate/" + zone);
    evacuatedZones_.erase(zone);
}

void FaultInjector::startWarmUp(Member &member, Milliseconds length)
{
    const TimePoint now = currentTime();
    member.upstream->statements().coldUntil = now + length;
    checker_.upstreamPromises().startWarmUp(member.upstreamId, now, now + length);
}

/// The upstream becomes cold without a restart; only its health answers tell.
asio::awaitable<void> FaultInjector::coolUpstream(PlannedFault fault)
{
    startWarmUp(deployment_.member(fault.node), fault.length);
    co_await sleepFor(fault.length);
}

asio::awaitable<void> FaultInjector::limitUpstream(PlannedFault fault)
{
    constexpr double Limit = 2.5;
    Member &member = deployment_.member(fault.node);
    const UpstreamName upstream = member.upstreamId;
    member.upstream->statements().limit = Limit;
    checker_.upstreamPromises().nameLimit(upstream, Limit, currentTime());
    co_await sleepFor(fault.length);
    member.upstream->statements().limit = 0.0;
    checker_.upstreamPromises().nameLimit(upstream, std::nullopt, currentTime());
}

asio::awaitable<void> FaultInjector::stateLeaving(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    const UpstreamName upstream = member.upstreamId;
    member.upstream->statements().isLeaving = true;
    checker_.upstreamPromises().stateLeaving(upstream, true, currentTime());
    co_await sleepFor(fault.length);
    member.upstream->statements().isLeaving = false;
    checker_.upstreamPromises().stateLeaving(upstream, false, currentTime());
}

asio::awaitable<void> FaultInjector::burstCallers(PlannedFault fault)
{
    callers_.setRateFactor(BurstRateFactor);
    co_await sleepFor(fault.length);
    callers_.setRateFactor(1.0);
}

asio::awaitable<void> FaultInjector::disconnectCallers(PlannedFault fault)
{
    callers_.setDisconnectShare(HighDisconnectShare);
    co_await sleepFor(fault.length);
    callers_.setDisconnectShare(UsualDisconnectShare);
}

asio::awaitable<void> FaultInjector::changeRoutes(PlannedFault /*fault*/)
{
    routePublisher_.publishNext();
    co_return;
}

asio::awaitable<void> FaultInjector::publishRouteStorm(PlannedFault fault)
{
    for (Milliseconds passed{0}; passed < fault.length; passed += StormInterval) {
        routePublisher_.publishNext();
        co_await sleepFor(StormInterval);
    }
}

asio::awaitable<void> FaultInjector::growRoutes(PlannedFault fault)
{
    routePublisher_.setIdleRoutes(ManyIdleRoutes);
    routePublisher_.publishNext();
    co_await sleepFor(fault.length);
    routePublisher_.setIdleRoutes(UsualIdleRoutes);
    routePublisher_.publishNext();
}

}

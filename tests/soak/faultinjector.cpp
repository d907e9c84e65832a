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

/// How often it is looked whether a process has ended or is there again.
constexpr Milliseconds EndPoll{20};
constexpr Milliseconds LinkDelay{150};
/// Upstreams that leave still serve for this time after the store took their word.
constexpr Milliseconds DrainTime{2500};
/// An entry of an upstream that died lapses after three missed heartbeats.
constexpr Milliseconds LapseTime{1500};
/// An address is used again so soon after its upstream has ended.
constexpr Milliseconds AddressPause{2000};
constexpr Milliseconds CrashRestartTime{700};
constexpr Milliseconds StormGap{300};
constexpr unsigned ManyRoutes = 300;
constexpr unsigned FewRoutes = 8;
constexpr double BurstFactor = 2.5;
constexpr double LeavingShare = 0.4;
constexpr double UsualLeavingShare = 0.02;
/// A process that has ended is there again within this time.
constexpr Milliseconds StartLimit{8000};

}

const std::vector<FaultInjector::Entry> FaultInjector::Entries{
    {FaultKind::NodeKill, &FaultInjector::killNode, Disturbance::Unplanned, false},
    {FaultKind::NodePause, &FaultInjector::pauseNode, Disturbance::Unplanned, false},
    {FaultKind::NodeStop, &FaultInjector::stopNode, Disturbance::Planned, false},
    {FaultKind::NodeReload, &FaultInjector::reloadNode, Disturbance::Planned, false},
    {FaultKind::NodesKilledTogether, &FaultInjector::killTogether, Disturbance::Unplanned, true},
    {FaultKind::LinkDelay, &FaultInjector::harmLink, Disturbance::Unplanned, false},
    {FaultKind::LinkReset, &FaultInjector::resetLink, Disturbance::Unplanned, false},
    {FaultKind::LinkOneWay, &FaultInjector::harmLink, Disturbance::Unplanned, false},
    {FaultKind::LinkCut, &FaultInjector::harmLink, Disturbance::Unplanned, false},
    {FaultKind::LinkSilence, &FaultInjector::silenceLink, Disturbance::Unplanned, false},
    {FaultKind::StoreLinkCut, &FaultInjector::cutStoreLink, Disturbance::Store, false},
    {FaultKind::StoreLinkReset, &FaultInjector::resetStoreLink, Disturbance::Store, false},
    {FaultKind::StoreLinkSilence, &FaultInjector::silenceStoreLink, Disturbance::Store, false},
    {FaultKind::StoreDown, &FaultInjector::disturbStore, Disturbance::Store, true},
    {FaultKind::StoreBusy, &FaultInjector::disturbStore, Disturbance::Store, true},
    {FaultKind::StoreSlow, &FaultInjector::disturbStore, Disturbance::Store, true},
    {FaultKind::StoreAnswersLost, &FaultInjector::disturbStore, Disturbance::Store, true},
    {FaultKind::StoreCompact, &FaultInjector::compactStore, Disturbance::Store, true},
    {FaultKind::UpstreamSlow, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamFailing, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamAnswersLost, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamCutsAnswers, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamUnsigned, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamRefusing, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamHangs, &FaultInjector::disturbUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamReplaced, &FaultInjector::replaceUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamCrash, &FaultInjector::crashUpstream, Disturbance::Upstream, false},
    {FaultKind::UpstreamCrashedByRequest, &FaultInjector::crashByRequest, Disturbance::Upstream, true},
    {FaultKind::CallerBurst, &FaultInjector::pressCallers, Disturbance::Upstream, true},
    {FaultKind::CallersLeave, &FaultInjector::haveCallersLeave, Disturbance::Upstream, true},
    {FaultKind::RoutesChange, &FaultInjector::changeRoutes, Disturbance::Planned, true},
    {FaultKind::RoutesStorm, &FaultInjector::stormRoutes, Disturbance::Planned, true},
    {FaultKind::RoutesGrow, &FaultInjector::growRoutes, Disturbance::Planned, true},
};

FaultInjector::FaultInjector(asio::io_context &context, SoakDeployment &deployment, StandinStore &store,
                             Operators &operators, SoakCallers &callers, Disturbances &disturbances,
                             PromiseChecker &checker, DeploymentOptions options)
    : context_(context)
    , deployment_(deployment)
    , store_(store)
    , operators_(operators)
    , callers_(callers)
    , disturbances_(disturbances)
    , checker_(checker)
    , options_(std::move(options))
{
}

asio::awaitable<void> FaultInjector::inject(PlannedFault fault)
{
    const auto entry =
        std::find_if(Entries.begin(), Entries.end(), [&fault](const Entry &known) { return known.kind == fault.kind; });
    const NodeNumber hit = entry->everywhere ? AllNodes : fault.node;
    disturbances_.begin(hit, entry->disturbs, currentTime());
    co_await (this->*entry->action)(fault);
    disturbances_.end(hit, entry->disturbs, currentTime());
}

asio::awaitable<void> FaultInjector::waitUntilRunning(const Member &member, unsigned boot)
{
    const TimePoint limit = currentTime() + StartLimit;
    while (member.process->boot() == boot && currentTime() < limit) {
        co_await sleepFor(EndPoll);
    }
    if (member.process->boot() == boot) {
        checker_.violated("runs on", "node " + std::to_string(member.number) + " was not started again");
    }
}

asio::awaitable<void> FaultInjector::killAndWait(Member &member)
{
    const unsigned boot = member.process->boot();
    if (member.process->runs()) {
        member.endExpected = true;
        member.process->signal(SIGKILL);
        co_await waitUntilRunning(member, boot);
    }
}

asio::awaitable<void> FaultInjector::killNode(PlannedFault fault)
{
    co_await killAndWait(deployment_.member(fault.node));
}

asio::awaitable<void> FaultInjector::killTogether(PlannedFault fault)
{
    for (const auto &member : deployment_.members()) {
        if ((member->number + fault.node) % 3 != 0 && member->process->runs()) {
            member->endExpected = true;
            member->process->signal(SIGKILL);
        }
    }
    co_await sleepFor(fault.length);
}

/// A process that wakes late acts on what it knew before.
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
    if (!stopping_.insert(fault.node).second) {
        co_return;
    }
    const unsigned boot = member.process->boot();
    member.endExpected = member.process->runs();
    member.process->signal(SIGTERM);
    const TimePoint limit = currentTime() + options_.grace;
    while (member.process->boot() == boot && member.process->runs() && currentTime() < limit) {
        co_await sleepFor(EndPoll);
    }
    if (member.process->boot() == boot && member.process->runs()) {
        const bool calm = disturbances_.isCalm(fault.node, Disturbance::Unplanned, limit - options_.grace, limit);
        if (calm) {
            checker_.violated("a planned stop ends in time", "node " + std::to_string(fault.node) + " still runs");
        }
        member.process->signal(SIGKILL);
    }
    co_await waitUntilRunning(member, boot);
    stopping_.erase(fault.node);
}

/// A changed file, one that can't be read, and the first again; the node goes on with what is in force.
asio::awaitable<void> FaultInjector::reloadNode(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    deployment_.breakSettings(member);
    member.process->signal(SIGHUP);
    co_await sleepFor(std::min(fault.length, Milliseconds{300}));
    deployment_.writeSettings(member, options_.repeatSlack);
    member.process->signal(SIGHUP);
}

asio::awaitable<void> FaultInjector::harmLink(PlannedFault fault)
{
    Member &member = deployment_.member(fault.node);
    if (!member.peerLink) {
        co_return;
    }
    RelayConditions conditions;
    conditions.delay = fault.kind == FaultKind::LinkDelay ? Duration(LinkDelay) : Duration{0};
    conditions.holdRequests = fault.kind == FaultKind::LinkOneWay;
    conditions.partitioned = fault.kind == FaultKind::LinkCut;
    // The other nodes see this link too: their requests to this node's upstream are what it harms.
    disturbances_.begin(AllNodes, Disturbance::Upstream, currentTime());
    member.peerLink->setConditions(conditions);
    co_await sleepFor(fault.length);
    member.peerLink->setConditions(RelayConditions());
    disturbances_.end(AllNodes, Disturbance::Upstream, currentTime());
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
        member.peerLink->silenceOpen();
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
    deployment_.member(fault.node).storeLink->silenceOpen();
    co_await sleepFor(fault.length);
}

asio::awaitable<void> FaultInjector::disturbStore(PlannedFault fault)
{
    const StoreMode mode = fault.kind == FaultKind::StoreDown ? StoreMode::Down
        : fault.kind == FaultKind::StoreBusy                  ? StoreMode::Busy
        : fault.kind == FaultKind::StoreSlow                  ? StoreMode::Slow
                                                              : StoreMode::AnswersLost;
    store_.setMode(mode);
    co_await sleepFor(fault.length);
    store_.setMode(StoreMode::Up);
}

asio::awaitable<void> FaultInjector::compactStore(PlannedFault /*fault*/)
{
    store_.compact();
    co_return;
}

asio::awaitable<void> FaultInjector::disturbUpstream(PlannedFault fault)
{
    constexpr double Slow = 6.0;
    constexpr double Often = 0.4;
    constexpr double Sometimes = 0.1;
    UpstreamFaults faults;
    faults.slow = fault.kind == FaultKind::UpstreamSlow ? Slow : 1.0;
    faults.failing = fault.kind == FaultKind::UpstreamFailing ? Often : 0.0;
    faults.answerLost = fault.kind == FaultKind::UpstreamAnswersLost ? Sometimes : 0.0;
    faults.cutShort = fault.kind == FaultKind::UpstreamCutsAnswers ? Sometimes : 0.0;
    faults.unsignedShare = fault.kind == FaultKind::UpstreamUnsigned ? Sometimes : 0.0;
    faults.refusing = fault.kind == FaultKind::UpstreamRefusing;
    faults.hanging = fault.kind == FaultKind::UpstreamHangs ? Often : 0.0;
    Member &member = deployment_.member(fault.node);
    member.upstream->faults() = faults;
    co_await sleepFor(fault.length);
    member.upstream->faults() = UpstreamFaults();
}

/// It says that it leaves, serves on for a while, and another one starts at its address.
asio::awaitable<void> FaultInjector::replaceUpstream(PlannedFault fault)
{
    if (!replaced_.insert(fault.node).second) {
        co_return;
    }
    Member &member = deployment_.member(fault.node);
    deployment_.registerUpstream(member, true);
    checker_.leaving(member.upstreamId, currentTime());
    member.upstream->drain();
    co_await sleepFor(DrainTime);
    deployment_.unregisterUpstream(member.upstreamId);
    member.upstream->crash();
    co_await sleepFor(AddressPause);
    deployment_.startUpstream(member);
    replaced_.erase(fault.node);
}

asio::awaitable<void> FaultInjector::crashUpstream(PlannedFault fault)
{
    if (!replaced_.insert(fault.node).second) {
        co_return;
    }
    Member &member = deployment_.member(fault.node);
    member.upstream->crash();
    co_await sleepFor(LapseTime);
    deployment_.unregisterUpstream(member.upstreamId);
    co_await sleepFor(AddressPause);
    deployment_.startUpstream(member);
    replaced_.erase(fault.node);
}

asio::awaitable<void> FaultInjector::crashByRequest(PlannedFault fault)
{
    asio::co_spawn(context_, callers_.sendCrashing(fault.length), asio::detached);
    co_await sleepFor(fault.length);
}

void FaultInjector::upstreamCrashed(Member &member)
{
    asio::co_spawn(context_, restartUpstream(member), asio::detached);
}

/// Its entry lapses some time after it is there again.
asio::awaitable<void> FaultInjector::restartUpstream(Member &member)
{
    if (!replaced_.insert(member.number).second) {
        co_return;
    }
    const UpstreamName ended = member.upstreamId;
    co_await sleepFor(CrashRestartTime);
    deployment_.startUpstream(member);
    replaced_.erase(member.number);
    co_await sleepFor(LapseTime);
    deployment_.unregisterUpstream(ended);
}

asio::awaitable<void> FaultInjector::pressCallers(PlannedFault fault)
{
    callers_.setPressure(BurstFactor);
    co_await sleepFor(fault.length);
    callers_.setPressure(1.0);
}

asio::awaitable<void> FaultInjector::haveCallersLeave(PlannedFault fault)
{
    callers_.setLeaving(LeavingShare);
    co_await sleepFor(fault.length);
    callers_.setLeaving(UsualLeavingShare);
}

asio::awaitable<void> FaultInjector::changeRoutes(PlannedFault /*fault*/)
{
    operators_.publishNext();
    co_return;
}

asio::awaitable<void> FaultInjector::stormRoutes(PlannedFault fault)
{
    for (Milliseconds passed{0}; passed < fault.length; passed += StormGap) {
        operators_.publishNext();
        co_await sleepFor(StormGap);
    }
}

asio::awaitable<void> FaultInjector::growRoutes(PlannedFault fault)
{
    operators_.setIdleRoutes(ManyRoutes);
    operators_.publishNext();
    co_await sleepFor(fault.length);
    operators_.setIdleRoutes(FewRoutes);
    operators_.publishNext();
}

}

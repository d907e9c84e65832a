#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/upstreamaccount.h"
#include "answers/heldanswers.h"
#include "calls/dependentcalls.h"
#include "calls/dependentroutereports.h"
#include "dialect/upstreamdialect.h"
#include "egress/servingcheck.h"
#include "egress/upstreamexitmonitor.h"
#include "egress/upstreamhealth.h"
#include "egress/upstreampresence.h"
#include "egress/upstreamrate.h"
#include "egress/upstreamturns.h"
#include "egress/workslots.h"
#include "http/httpconnectionpool.h"
#include "idempotency/latenessguard.h"
#include "instances/evacuatedzones.h"
#include "messages/receivedbody.h"
#include "quarantine/quarantine.h"
#include "quarantine/recentanswers.h"
#include "routes/routetable.h"
#include "rpc/peerservice.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

class AnswerReader;
class RequestTracking;
class UpstreamRequest;

/// The data that the egress role reads and never writes.
struct EgressSources
{
    const RouteTablePointer &routes;
    const EvacuatedZones &evacuatedZones;
    const Quarantine &quarantine;
};

/// The address of the upstream, and how the node probes it and queues requests for it.
struct EgressSettings
{
    Endpoint upstream;
    std::string healthPath = "/health";
    /// Before a request is admitted, the upstream is probed if the known slowdown of the VM is older than this. The
    /// limit is a fraction of the length of a slow period.
    Milliseconds slowdownMaxAge{60};
    /// How long a request waits for that probe. After this time it is admitted with the old slowdown.
    Milliseconds maxProbeWait{12};
    /// The interval between two probes while a request waits for the VM's slow period to end. Probes do not leave the
    /// VM.
    Milliseconds slowdownWatchInterval{20};
    /// The interval between two probes while a request takes longer at the upstream than expected; see UpstreamAccount.
    Milliseconds accountInterval{150};
    /// Whether the node uses UpstreamAccount. If so, the node ends requests that the upstream has lost, and external
    /// requests (see WorkQueue::setExternalRequests()) take slots.
    bool keepsAccount = true;
    WorkQueueSettings queue;
    TurnQueueSettings turns;
    /// How long the reading of one answer may pause in all for readers that don't take it. Readers that take nothing
    /// are left after the same time.
    Milliseconds maxAnswerPause{30'000};
    /// Idle connections to the upstream are closed after this time. Upstreams close idle connections after 5 s or more.
    Milliseconds idleTime{3000};
};

/// The egress role of a node. All requests for the upstream on this VM pass through it.
///
/// Until a request is handed over to the upstream, every refusal proves that the request was not run. After that, only
/// a complete answer, or a statement of the upstream that it did not run the request, settles whether the request ran.
///
/// Preconditions: references outlive the role and its requests. Thread safety: none.
class EgressRole
{
public:
    EgressRole(boost::asio::any_io_executor executor, EgressSettings settings, NodeIdentity self, Location location,
               EgressSources sources, const UpstreamDialect &dialect, EventLog &log, Metrics &metrics, Random random);
    ~EgressRole();
    EgressRole(const EgressRole &) = delete;
    EgressRole &operator=(const EgressRole &) = delete;

    /// See PeerService::call().
    boost::asio::awaitable<CallOutcome> call(CallHead head, RequestBody body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation);

    /// The outcome of a call that is refused before it came here.
    [[nodiscard]] CallOutcome refuse(const CallHead &head, Failure failure) const;

    /// Sets what the instance list says about the upstream's address; null if it lists no upstream there. Waiting
    /// requests for an upstream that leaves are refused.
    void setInstanceRecord(const InstanceRecord *record);
    /// Call this after the evacuated zones changed. If this zone is one of them, waiting requests are refused; requests
    /// at the upstream are finished.
    void evacuatedZonesChanged();
    void setHealthPath(std::string path) { settings_.healthPath = std::move(path); }
    void setMaxConnections(std::uint32_t maxConnections);
    /// See UpstreamRate::setColdRate().
    void setColdRate(std::optional<RequestRate> rate) { rate_.setColdRate(rate); }
    /// Begins a planned stop. From now on, requests whose deadline is after @p answersDue are refused, also those that
    /// wait. However short their work usually is, the process may end before it; another node can take them.
    void beginStop(TimePoint answersDue) { answersDue_ = answersDue; }
    /// Refuses new requests from now on, and those that wait for a turn. Requests that wait for a slot go on.
    void startDraining();
    /// Writes a log line for each request that waits here or is at the upstream. Call this when the process ends.
    void logCutRequests() const;
    /// Refuses all requests that wait. Requests at the upstream go on. Call this when the process is about to end.
    void refuseAllWaiting();
    /// Sets what limits the answers that the node holds for readers. Without it nothing does.
    void setHeldAnswers(std::weak_ptr<HeldAnswers> held) { heldAnswers_ = std::move(held); }
    /// Calls @p listener when the upstream has exited while it had requests; see UpstreamExitMonitor::Listener.
    void onUpstreamExit(UpstreamExitMonitor::Listener listener) { upstreamExitListener_ = std::move(listener); }
    /// Ends all waiting and running requests that the quarantine now refuses.
    void endQuarantinedRequests();
    /// @p backlog returns the time that it takes to send the bytes waiting for the node's link; see LoadReport.
    void setLinkBacklog(std::function<Duration()> backlog) { linkBacklog_ = std::move(backlog); }
    [[nodiscard]] LoadReport report(const RouteName &route) const;
    /// What is known about calls by the upstream. The ingress of this node, where they arrive, records them.
    [[nodiscard]] DependentCalls &calls() { return calls_; }
    [[nodiscard]] const DependentCalls &calls() const { return calls_; }
    /// See UpstreamRate::limitedBy().
    [[nodiscard]] std::string_view limitedBy() const { return rate_.limitedBy(); }
    /// Whether no request waits or runs here, and all answers were passed on.
    [[nodiscard]] bool isIdle() const { return slots_.queue().isIdle() && turns_.isIdle() && passingOnCount_ == 0; }

private:
    friend class AnswerReader;
    friend class RequestTracking;
    friend class UpstreamRequest;

    /// Exists as long as the role, so that requests can detect that the role was destroyed.
    struct LifetimeToken
    {
    };

    /// Calls @p rejection with the target of each request that waits for a turn or a slot, and refuses the request with
    /// the failure it returns.
    void refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection);
    [[nodiscard]] CallId nextCallId() { return CallId(++lastCallId_); }
    /// Probes the upstream if the known slowdown is old, or if it is not known whether the upstream is warm. Returns
    /// after at most settings_.maxProbeWait.
    boost::asio::awaitable<void> refreshUpstreamState();
    boost::asio::awaitable<void> probe();
    void startProbe();
    /// Probes repeatedly while a request waits for a change that only a probe can show.
    boost::asio::awaitable<void> probeForWaitingRequests();
    /// Probes repeatedly while a request is overdue, to find requests that the upstream has lost.
    boost::asio::awaitable<void> probeForOverdueRequests();
    void recordOverdue();
    void updateAccount(const UpstreamLoadSample &load);
    void applyAnswerMetadata(const UpstreamAnswerMetadata &metadata);
    /// Takes what the upstream says of itself in an answer to a request: the limit that it names, or that it names
    /// none, and whether it leaves.
    void applyStatements(const UpstreamAnswerMetadata &metadata);
    void applyLeaving(bool isLeaving);
    /// Sets the number of requests that the upstream can run at the same time.
    void setSlots(std::uint32_t slots);
    /// Refuses the requests that wait for an upstream which leaves or has left.
    void refuseWaitingForDeparted();
    /// The refusal of any request while the node stops.
    [[nodiscard]] static Failure drainingRejection();
    /// Returns why a new download is refused, or nothing if it is taken.
    ///
    /// An upstream exits if the answers that it holds exceed its memory. So at most twice as many downloads as it has
    /// slots are under way, from their arrival here until their answers were passed on.
    [[nodiscard]] std::optional<Failure> downloadRejection();
    void recordArrival(Duration delay);
    /// Logs the requests that the upstream held when it exited, and informs the listener.
    void reportUpstreamExit(UpstreamCrashId crash, const std::vector<HeldRequest> &held);
    void recordAnswer(bool failed);
    /// Passes the present share of failures to the queue; the share decays with time.
    void updateFailureShare();

    std::shared_ptr<const LifetimeToken> lifetimeToken_ = std::make_shared<LifetimeToken>();
    boost::asio::any_io_executor executor_;
    EgressSettings settings_;
    NodeIdentity self_;
    const UpstreamDialect &dialect_;
    EventLog &log_;
    Metrics &metrics_;
    WorkSlots slots_;
    HttpConnectionPool pool_;
    EgressSources sources_;
    ServingCheck servingCheck_;
    RecentAnswers recentAnswers_;
    UpstreamExitMonitor exitMonitor_;
    UpstreamExitMonitor::Listener upstreamExitListener_;
    LatenessGuard latenessGuard_;
    UpstreamHealth health_;
    DependentCalls calls_;
    DependentRouteReports dependentRoutes_;
    std::uint64_t lastCallId_ = 0;
    TimePoint slowdownUpdatedAt_;
    UpstreamPresence presence_;
    UpstreamRate rate_;
    UpstreamTurns turns_;
    double arrivalDelayMicroseconds_ = 0.0;
    /// Empty if the rate of the link is not known.
    std::function<Duration()> linkBacklog_;
    /// Requests have to be answered by then; far away unless the node stops.
    TimePoint answersDue_ = TimePoint::max();
    bool isDraining_ = false;
    bool isProbing_ = false;
    bool isProbingForWaiting_ = false;
    bool isProbingForOverdue_ = false;
    UpstreamAccount account_;
    /// Requests that wait for a slot.
    std::unordered_map<CallId, UpstreamRequest *> waitingRequests_;
    /// Requests that were handed over to the upstream.
    std::unordered_map<CallId, UpstreamRequest *> requestsAtUpstream_;
    std::weak_ptr<HeldAnswers> heldAnswers_;
    /// Zero until the upstream or the instance list told.
    std::uint32_t upstreamSlots_ = 0;
    std::uint32_t openDownloads_ = 0;
    /// The number of answers that were read and not passed on completely.
    std::uint32_t passingOnCount_ = 0;
    /// The number of requests at the upstream that are overdue.
    std::size_t overdueCount_ = 0;
    /// Never expires. It is cancelled when a probe has ended, and when a request has waited for settings_.maxProbeWait.
    /// Cancelling it wakes all coroutines that wait for a probe.
    boost::asio::steady_timer probeFinished_;
};

}

#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/upstreamaccount.h"
#include "dialect/upstreamdialect.h"
#include "egress/upstreamexitmonitor.h"
#include "egress/upstreamhealth.h"
#include "egress/upstreampresence.h"
#include "egress/workslots.h"
#include "http/httpconnectionpool.h"
#include "idempotency/latenessguard.h"
#include "quarantine/quarantine.h"
#include "quarantine/recentanswers.h"
#include "rpc/peerservice.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

class UpstreamRequest;

/// Where the upstream is and how it is asked.
struct EgressSettings
{
    Endpoint upstream;
    std::string healthPath = "/health";
    /// What is known of the VM's pace is asked for again, before a request is taken, when it is older than this: a part
    /// of the length of a slow spell.
    Milliseconds slowdownMaxAge{60};
    /// How long that question may take; work is taken on old knowledge after it.
    Milliseconds probeLimit{12};
    /// Between two such questions while a request waits for the VM's slow spell to end. They stay on the VM.
    Milliseconds slowdownWatchInterval{20};
    /// Between two questions while the upstream takes longer for a request than it should; see UpstreamAccount.
    Milliseconds accountInterval{150};
    /// Requests that the upstream has lost end, and work there for others takes slots.
    bool keepsAccount = true;
    WorkQueueSettings queue;
    /// Idle connections to the upstream are closed after this time. Upstreams close theirs after 5 s or more.
    Milliseconds idleTime{3000};
};

/// The egress role: the only way to the upstream beside this node.
///
/// Up to the moment at which a request is handed over every refusal is a proved not-run; from there on only a whole
/// answer, or the upstream's word that it did not run the request, ends the doubt.
///
/// Preconditions: references outlive the role and its requests. Thread safety: none.
class EgressRole
{
public:
    EgressRole(boost::asio::any_io_executor executor, EgressSettings settings, NodeIdentity self,
               const UpstreamDialect &dialect, EventLog &log, Metrics &metrics, const Quarantine &quarantine,
               Random random);
    ~EgressRole();
    EgressRole(const EgressRole &) = delete;
    EgressRole &operator=(const EgressRole &) = delete;

    /// See PeerService::call().
    boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation);

    /// What the list says of the upstream's address; null if it names nobody there. Requests that wait for one that
    /// leaves are refused.
    void setListed(const InstanceRecord *record);
    void setHealthPath(std::string path) { settings_.healthPath = std::move(path); }
    void setConnectionCap(std::uint32_t cap);
    /// Refuses new requests from now on, or no longer.
    void setDraining(bool draining) { draining_ = draining; }
    /// Calls @p listener when the upstream has ended with requests under way; see UpstreamExitMonitor::Listener.
    void onUpstreamExit(UpstreamExitMonitor::Listener listener) { upstreamExitListener_ = std::move(listener); }
    /// Ends the requests, waiting or running, that are refused by now.
    void quarantineChanged();
    [[nodiscard]] LoadReport report(const RouteName &route) const;
    /// No request waits or runs here.
    [[nodiscard]] bool isIdle() const { return slots_.queue().isIdle(); }

private:
    friend class UpstreamRequest;

    /// Exists as long as the role.
    struct Life
    {
    };

    [[nodiscard]] CallId nextCallId() { return CallId(++lastCallId_); }
    /// Asks the upstream for its pace when what is known is old; returns after a short time in any case.
    boost::asio::awaitable<void> refreshSlowdown();
    boost::asio::awaitable<void> probe();
    void startProbe();
    /// Asks again and again while a request waits for what only news of the upstream can end.
    boost::asio::awaitable<void> watchUpstream();
    /// Asks again and again while a request takes too long, to find those that the upstream has lost.
    boost::asio::awaitable<void> watchOverdue();
    void noteOverdue();
    void takeAccount(const UpstreamLoadSample &load);
    void take(const UpstreamAnswerMetadata &metadata);
    void recordArrival(Duration delay);
    /// The upstream has ended, with these requests under way.
    void noteUpstreamEnd(UpstreamCrashId crash, const std::vector<HeldRequest> &held);
    void recordAnswer(bool failed);
    /// Tells the queue how much of the evidence of failures is left.
    void recordHealth();

    std::shared_ptr<const Life> life_ = std::make_shared<Life>();
    boost::asio::any_io_executor executor_;
    EgressSettings settings_;
    NodeIdentity self_;
    const UpstreamDialect &dialect_;
    EventLog &log_;
    Metrics &metrics_;
    WorkSlots slots_;
    HttpConnectionPool pool_;
    const Quarantine &quarantine_;
    RecentAnswers answers_;
    UpstreamExitMonitor exitMonitor_;
    UpstreamExitMonitor::Listener upstreamExitListener_;
    LatenessGuard lateness_;
    UpstreamHealth health_;
    std::uint64_t lastCallId_ = 0;
    TimePoint slowdownTime_;
    UpstreamPresence presence_;
    double arrivalDelayMicroseconds_ = 0.0;
    bool draining_ = false;
    bool probing_ = false;
    bool watchingUpstream_ = false;
    bool watchingOverdue_ = false;
    UpstreamAccount account_;
    /// Those that wait for a slot.
    std::unordered_map<CallId, UpstreamRequest *> waiting_;
    /// Those that the upstream has.
    std::unordered_map<CallId, UpstreamRequest *> atUpstream_;
    /// Of these, the ones that take longer than they should.
    std::size_t overdue_ = 0;
    /// Never expires; cancelled when a probe has ended.
    boost::asio::steady_timer probed_;
};

}

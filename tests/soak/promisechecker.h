#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "routes/routetable.h"
#include "soak/faulthistory.h"
#include "soak/publishedversions.h"
#include "soak/stalldetector.h"
#include "soak/upstreampromises.h"
#include "standins/standinupstream.h"

namespace Egretpath
{

/// One attempt of a caller, as it was sent.
struct SentAttempt
{
    RequestId id;
    /// The node that the attempt was sent to.
    NodeNumber node = 0;
    /// Number of starts of that node's process so far; identifies the process that got the attempt.
    unsigned nodeStartCount = 0;
    RouteKey route;
    RequestKind kind = RequestKind::Safe;
    std::string method;
    std::string target;
    std::string bodyDigest;
    /// The service that runs on the VM of the caller.
    ServiceName callerService;
    Milliseconds callerTimeout{0};
    /// The attempt has to be answered within this time: the route's timeout, or that of the caller if it is shorter.
    Milliseconds timeout{0};
    TimePoint at;
    /// Whether an upstream made this call while it worked on a request. The call may be cut off when that work ends.
    bool isInner = false;
    /// Whether the request crashes upstreams, or makes its upstream send a call that does.
    bool isCrashing = false;
};

/// The result of an attempt, as its caller saw it.
struct AttemptResult
{
    /// Zero if the connection ended without a complete answer.
    std::uint16_t status = 0;
    /// The digest that proves that an upstream made the answer; empty if the answer carries none.
    std::string digest;
    std::string echoedId;
    std::string bodyDigest;
    /// Whether no byte of the request was sent, or no connection was made.
    bool isUnsent = false;
    /// Whether the caller closed the connection itself.
    bool callerDisconnected = false;
    TimePoint disconnectedAt;
    /// Value of Retry-After; zero if the answer had none.
    Milliseconds retryAfter{0};
    TimePoint at;
};

/// Bounds and tolerances of the promises.
struct PromiseBounds
{
    /// Time within which a change of the routes becomes active at all nodes.
    Milliseconds routeChange{2000};
    /// Time after which a draining upstream gets no more requests.
    Milliseconds drain{2000};
    /// Added to each time bound, since the machine that runs the soak may be busy with other work.
    Milliseconds slack{500};
    double retryRatio = 0.2;
    double retrySlack = 40;
    Milliseconds retryWindow{10'000};
    /// Time within which the nodes report to each other a request that crashes upstreams.
    Milliseconds quarantineGossip{3000};
};

/// Checks the promises against what callers and upstreams observe, during the run and at its end.
///
/// It uses only what callers and upstreams saw on their sockets and what the soak itself did. It reads no internal
/// state of the nodes. Thread safety: none.
class PromiseChecker final : public UpstreamObserver
{
public:
    PromiseChecker(PromiseBounds bounds, const FaultHistory &faultHistory, StallDetector &stallDetector,
                   const PublishedVersions &versions);

    void recordSent(const SentAttempt &attempt);
    void recordResult(const RequestId &attempt, const AttemptResult &result);
    /// Records that @p upstream runs beside @p node in @p zone.
    void recordPlacement(const UpstreamName &upstream, NodeNumber node, const std::string &zone);
    /// Records that @p upstream announced, itself or through its store entry, that it is draining.
    void recordDraining(const UpstreamName &upstream, TimePoint at);
    /// Records a violation: the process of @p node exited although the soak did not ask for it, or in another way than
    /// the soak asked for.
    void recordUnexpectedExit(NodeNumber node, const std::string &reason);
    /// Records a violation that was found outside this class.
    void recordViolation(const std::string &promise, const std::string &detail);

    // UpstreamObserver
    void onArrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) override;
    void onRunStarted(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) override;
    void onRunFinished(const RequestId &attempt) override;
    void onAnswered(const UpstreamAnswer &answer) override;
    void onCrashedBy(const UpstreamName &upstream, const ArrivedRequest &request) override;

    /// The promises about what upstreams get, for the soak to record what it does to them.
    [[nodiscard]] UpstreamPromises &upstreamPromises() { return upstreamPromises_; }

    /// Runs the checks that are only possible at the end of the run.
    void finish();
    [[nodiscard]] const std::vector<std::string> &violations() const { return violations_; }
    [[nodiscard]] std::string summary() const;

    struct Counts
    {
        std::uint64_t sent = 0;
        std::uint64_t succeeded = 0;
        std::uint64_t refused = 0;
        std::uint64_t unknown = 0;
        std::uint64_t runs = 0;
        std::uint64_t callerDisconnects = 0;
        /// Crashes of upstreams that requests caused.
        std::uint64_t crashes = 0;
        /// Requests that crash no upstream and were refused as if they did.
        std::uint64_t wronglyQuarantined = 0;
    };
    [[nodiscard]] const Counts &counts() const { return counts_; }

private:
    struct Run
    {
        UpstreamName upstream;
        ServiceName service;
        TimePoint startedAt;
        std::optional<TimePoint> finishedAt;
    };

    struct Attempt
    {
        SentAttempt sent;
        std::vector<Run> runs;
        std::vector<UpstreamAnswer> answers;
        unsigned arrivals = 0;
        std::optional<AttemptResult> result;
    };

    /// A request that crashes upstreams.
    struct CrashingRequest
    {
        std::vector<TimePoint> crashes;
        /// Runs that started more than the gossip time after the third crash.
        std::size_t lateRuns = 0;
    };

    struct Arrivals
    {
        std::vector<TimePoint> requests;
        std::vector<TimePoint> retries;
    };

    /// One process of a node, from its start to its exit.
    struct NodeRun
    {
        NodeNumber node = 0;
        unsigned startCount = 0;

        friend auto operator<=>(const NodeRun &, const NodeRun &) = default;
    };

    /// The newest version of the routes that one process of a node is known to have used, and when this was first
    /// observed.
    struct SeenVersion
    {
        std::uint64_t number = 0;
        TimePoint at;
    };

    void checkUpstream(const Attempt &attempt, const UpstreamName &upstream);
    void checkRequest(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request);
    void checkDeadline(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request);
    /// Precondition: the attempt's latest run has just started at @p upstream.
    void checkCrashingRequest(const Attempt &attempt, const UpstreamName &upstream);
    void checkDraining(const Attempt &attempt, const UpstreamName &upstream);
    void checkRouting(const Attempt &attempt, const ServiceName &service);
    void checkNoRollback(const Attempt &attempt, std::uint64_t oldest, std::uint64_t newest);
    void checkAnswer(const Attempt &attempt);
    void checkNotFound(const Attempt &attempt);
    void checkTimeout(const Attempt &attempt);
    void checkAttempt(const Attempt &attempt);
    void checkCutOff(const Attempt &attempt);
    void checkDisconnected(const Attempt &attempt);
    void checkRetries();
    [[nodiscard]] bool isNodeFaultFree(const Attempt &attempt, TimePoint until) const;
    /// Whether no unplanned fault hit the node beside @p upstream.
    [[nodiscard]] bool isUpstreamNodeFaultFree(const UpstreamName &upstream, TimePoint from, TimePoint to) const;
    void recordAttemptViolation(const char *promise, const Attempt &attempt, const std::string &detail);

    PromiseBounds bounds_;
    const FaultHistory &faultHistory_;
    StallDetector &stallDetector_;
    UpstreamPromises upstreamPromises_;
    const PublishedVersions &versions_;
    TimePoint start_;
    std::unordered_map<RequestId, Attempt> attempts_;
    std::map<UpstreamName, TimePoint> drainingSince_;
    std::map<ServiceName, Arrivals> arrivals_;
    std::map<UpstreamName, NodeNumber> upstreamNodes_;
    std::map<NodeRun, SeenVersion> seenVersions_;
    /// Keyed by request path.
    std::map<std::string, CrashingRequest> crashingRequests_;
    std::vector<std::string> violations_;
    /// Findings by promise that are violations only if there are more than a few of them.
    std::map<std::string, std::vector<std::string>> toleratedFindings_;
    Counts counts_;
};

}

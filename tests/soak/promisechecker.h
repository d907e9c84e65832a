#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "routes/routetable.h"
#include "soak/disturbances.h"
#include "soak/publishedversions.h"
#include "soak/stallwatch.h"
#include "standins/slottedupstream.h"

namespace Egretpath
{

/// One attempt of a caller, as it was sent.
struct SentAttempt
{
    RequestId id;
    /// The node that it was sent to.
    NodeNumber node = 0;
    /// Which run of that node's process.
    unsigned boot = 0;
    RouteKey route;
    RequestKind kind = RequestKind::Safe;
    std::string method;
    std::string target;
    std::string bodyDigest;
    /// The service that runs on the VM of the caller.
    ServiceName callerService;
    Milliseconds patience{0};
    /// After this time the route wants it ended with an answer.
    Milliseconds timeout{0};
    TimePoint at;
    /// A call that an upstream makes while it works; its end may be cut with that work.
    bool inner = false;
    /// It ends upstreams, or its upstream makes a call that does.
    bool crashing = false;
};

/// What the caller of an attempt got.
struct AttemptEnd
{
    /// Zero: the connection ended without a whole answer.
    std::uint16_t status = 0;
    std::string signature;
    std::string echoedId;
    std::string bodyDigest;
    /// No byte of the request left, or the connection could not be made.
    bool notSent = false;
    /// The caller closed the connection itself.
    bool callerLeft = false;
    TimePoint leftAt;
    /// When to come back; zero if nothing was said.
    Milliseconds retryAfter{0};
    TimePoint at;
};

/// Tolerances and bounds of the promises.
struct PromiseBounds
{
    /// Changes of routes are in force, and leaving upstreams get nothing more, within this time.
    Milliseconds config{2000};
    Milliseconds drain{2000};
    /// Added to each bound of time, since the machine that runs the soak has other work too.
    Milliseconds slack{500};
    double repeatRatio = 0.2;
    double repeatSlack = 40;
    Milliseconds repeatWindow{10'000};
    /// In which nodes tell each other of a request that ends upstreams.
    Milliseconds crashNews{3000};
};

/// Holds what callers and upstreams saw against the promises, while it happens and at the end.
///
/// Everything that it knows was seen on sockets by callers and upstreams, or done by the soak itself; it reads nothing
/// of the nodes. Thread safety: none.
class PromiseChecker final : public UpstreamObserver
{
public:
    PromiseChecker(PromiseBounds bounds, const Disturbances &disturbances, StallWatch &stalls,
                   const PublishedVersions &versions);

    void sent(const SentAttempt &attempt);
    void ended(const RequestId &attempt, const AttemptEnd &end);
    /// @p upstream stands beside @p node.
    void placed(const UpstreamName &upstream, NodeNumber node);
    /// @p upstream said or had it said that it leaves.
    void leaving(const UpstreamName &upstream, TimePoint at);
    /// A process that nobody ended is gone.
    void crashed(NodeNumber node, const std::string &how);
    /// Something that the soak itself checks failed.
    void violated(const std::string &promise, const std::string &what);

    // UpstreamObserver
    void arrived(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) override;
    void runStarted(const UpstreamName &upstream, const ServiceName &service, const ArrivedRequest &request) override;
    void runEnded(const RequestId &attempt) override;
    void answered(const MadeAnswer &answer) override;
    void crashedBy(const UpstreamName &upstream, const ArrivedRequest &request) override;

    /// Checks what only shows at the end.
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
        std::uint64_t leftByCallers = 0;
        /// Ends of upstreams by requests.
        std::uint64_t crashes = 0;
        /// Proper requests that were refused as such ones are.
        std::uint64_t accused = 0;
    };
    [[nodiscard]] const Counts &counts() const { return counts_; }

private:
    struct Run
    {
        UpstreamName upstream;
        ServiceName service;
        TimePoint began;
        std::optional<TimePoint> ended;
    };

    struct Attempt
    {
        SentAttempt sent;
        std::vector<Run> runs;
        std::vector<MadeAnswer> answers;
        unsigned arrivals = 0;
        std::optional<AttemptEnd> end;
    };

    /// A request that ends upstreams.
    struct CrashingRequest
    {
        std::vector<TimePoint> crashes;
        /// Later runs than the third crash excuses.
        std::size_t lateRuns = 0;
    };

    struct Arrivals
    {
        std::vector<TimePoint> requests;
        std::vector<TimePoint> repeats;
    };

    /// One run of a node's process.
    struct Boot
    {
        NodeNumber node = 0;
        unsigned number = 0;

        friend auto operator<=>(const Boot &, const Boot &) = default;
    };

    /// The newest version of the routes whose effect a boot has shown, and when it was first seen.
    struct SeenVersion
    {
        std::uint64_t number = 0;
        TimePoint at;
    };

    void checkRequest(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request);
    void checkDeadline(const Attempt &attempt, const UpstreamName &upstream, const ArrivedRequest &request);
    /// Precondition: the attempt's newest run has just begun at @p upstream.
    void checkCrashing(const Attempt &attempt, const UpstreamName &upstream);
    void checkLeaving(const Attempt &attempt, const UpstreamName &upstream);
    void checkRouting(const Attempt &attempt, const ServiceName &service);
    void checkNotBack(const Attempt &attempt, std::uint64_t oldest, std::uint64_t newest);
    void checkAnswer(const Attempt &attempt);
    void checkRefusedRoute(const Attempt &attempt);
    void checkInTime(const Attempt &attempt);
    void checkAttempt(const Attempt &attempt);
    void checkLost(const Attempt &attempt);
    void checkGone(const Attempt &attempt);
    void checkRepeats();
    [[nodiscard]] bool isInTouch(const Attempt &attempt, TimePoint until) const;
    /// Whether the node beside @p upstream was not hit either.
    [[nodiscard]] bool isCalmAt(const UpstreamName &upstream, TimePoint from, TimePoint to) const;
    void violate(const char *promise, const Attempt &attempt, const std::string &what);

    PromiseBounds bounds_;
    const Disturbances &disturbances_;
    StallWatch &stalls_;
    const PublishedVersions &versions_;
    TimePoint start_;
    std::unordered_map<RequestId, Attempt> attempts_;
    std::map<UpstreamName, TimePoint> leavingSince_;
    std::map<ServiceName, Arrivals> arrivals_;
    std::map<UpstreamName, NodeNumber> places_;
    std::map<Boot, SeenVersion> seenVersions_;
    /// By path.
    std::map<std::string, CrashingRequest> crashing_;
    std::vector<std::string> violations_;
    /// Findings that count only when there are more than a few.
    std::map<std::string, std::vector<std::string>> few_;
    Counts counts_;
};

}

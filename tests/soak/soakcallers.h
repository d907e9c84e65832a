#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/random.h"
#include "http/httpconnectionpool.h"
#include "soak/promisechecker.h"
#include "soak/routepublisher.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

/// Simulates the callers of each node, and the calls that upstreams make while they work.
///
/// Requests are sent at planned times, whether or not earlier requests were answered. Callers reuse connections or open
/// new ones, wait as long as Retry-After says before they retry a refusal, and some disconnect early. Thread safety:
/// none.
class SoakCallers
{
public:
    SoakCallers(boost::asio::io_context &context, SoakDeployment &deployment, const RoutePublisher &routePublisher,
                PromiseChecker &checker, Random random);

    /// Starts to send about @p rate requests per second at each node, until @p end.
    void start(double rate, TimePoint end);
    /// Multiplies the request rate by @p factor.
    void setRateFactor(double factor) { rateFactor_ = factor; }
    /// Sets the share of callers that disconnect before their answer.
    void setDisconnectShare(double share) { disconnectShare_ = share; }
    /// Sends one request that crashes each upstream that runs it, or whose upstream makes a call that does. Its
    /// attempts go to random nodes: often for @p length, then less often until the end of the load.
    boost::asio::awaitable<void> sendCrashing(Milliseconds length);
    [[nodiscard]] StandinUpstream::InnerCall innerCalls(NodeNumber node);

    /// Attempts since the last takeTally(), without those of crashing requests, and how many of them succeeded. Used to
    /// measure the recovery after the faults.
    struct Tally
    {
        std::uint64_t attempts = 0;
        std::uint64_t successes = 0;
    };
    [[nodiscard]] Tally takeTally() { return std::exchange(tally_, Tally()); }

private:
    struct Attempt
    {
        NodeNumber node = 0;
        CallerRoute route;
        Milliseconds callerTimeout{0};
        bool isInner = false;
        /// Last segment of the path; if empty, the number of the attempt is used.
        std::string name;
    };

    boost::asio::awaitable<void> sendRequests(NodeNumber node, double rate, TimePoint end);
    boost::asio::awaitable<void> callWithRetries(NodeNumber node);
    /// Sends one attempt and returns its result.
    boost::asio::awaitable<AttemptResult> sendAttempt(Attempt attempt);
    boost::asio::awaitable<AttemptResult> exchange(HttpClientCall &call, SentAttempt sent, std::string body);
    [[nodiscard]] SentAttempt describe(const Attempt &attempt, const std::string &body);
    [[nodiscard]] CallerRoute drawRoute();
    [[nodiscard]] Milliseconds retryDelay(const AttemptResult &result) const;
    [[nodiscard]] static bool mayRetry(RequestKind kind, const AttemptResult &result);

    boost::asio::io_context &context_;
    SoakDeployment &deployment_;
    const RoutePublisher &routePublisher_;
    PromiseChecker &checker_;
    Random random_;
    std::vector<std::unique_ptr<HttpConnectionPool>> pools_;
    Tally tally_;
    TimePoint loadEnd_;
    std::uint64_t lastId_ = 0;
    std::uint64_t lastCrashingId_ = 0;
    double rateFactor_ = 1.0;
    double disconnectShare_ = 0.02;
};

}

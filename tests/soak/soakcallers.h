#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/random.h"
#include "http/httpconnectionpool.h"
#include "soak/operators.h"
#include "soak/promisechecker.h"
#include "soak/soakdeployment.h"

namespace Egretpath
{

/// Callers beside each node, and the calls that upstreams make while they work.
///
/// They send at planned times, whether or not earlier requests were answered; keep connections open or open new ones;
/// come back after refusals as they are told; and some leave early. Thread safety: none.
class SoakCallers
{
public:
    SoakCallers(boost::asio::io_context &context, SoakDeployment &deployment, const Operators &operators,
                PromiseChecker &checker, Random random);

    /// Sends until @p end, about @p rate requests a second at each node.
    void start(double rate, TimePoint end);
    /// Requests come this many times as often.
    void setPressure(double factor) { pressure_ = factor; }
    /// This share of the callers leaves before its answer.
    void setLeaving(double share) { leaving_ = share; }
    /// Sends one request, attempt after attempt at one node or another, that ends each upstream that runs it; or one
    /// whose upstream makes a call that does. It comes often for @p length, and now and then to the end.
    boost::asio::awaitable<void> sendCrashing(Milliseconds length);
    [[nodiscard]] SlottedUpstream::InnerCall innerCalls(NodeNumber node);

    /// Attempts since the last call, and those of them that succeeded; for what counts after the faults.
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
        Milliseconds patience{0};
        bool inner = false;
        /// The last part of the path; empty: the attempt's own.
        std::string name;
    };

    boost::asio::awaitable<void> sendAt(NodeNumber node, double rate, TimePoint end);
    boost::asio::awaitable<void> request(NodeNumber node);
    /// One attempt; returns how it ended.
    boost::asio::awaitable<AttemptEnd> attempt(Attempt what);
    boost::asio::awaitable<AttemptEnd> exchange(HttpClientCall &call, SentAttempt sent, std::string body);
    [[nodiscard]] SentAttempt describe(const Attempt &what, const std::string &body);
    [[nodiscard]] CallerRoute drawRoute();
    [[nodiscard]] Milliseconds retryDelay(const AttemptEnd &end) const;
    [[nodiscard]] static bool mayRetry(RequestKind kind, const AttemptEnd &end);

    boost::asio::io_context &context_;
    SoakDeployment &deployment_;
    const Operators &operators_;
    PromiseChecker &checker_;
    Random random_;
    std::vector<std::unique_ptr<HttpConnectionPool>> pools_;
    Tally tally_;
    TimePoint end_;
    std::uint64_t lastId_ = 0;
    std::uint64_t lastCrashing_ = 0;
    double pressure_ = 1.0;
    double leaving_ = 0.02;
};

}

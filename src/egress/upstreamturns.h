#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/turnqueue.h"
#include "admission/workqueue.h"
#include "core/verdict.h"
#include "egress/upstreamrate.h"
#include "rpc/cancellation.h"
#include "rpc/peermessages.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// Whether a request took a turn.
enum class TurnState : std::uint8_t {
    Taken,
    /// The rate of the upstream is not limited, or is not any more.
    NotNeeded,
};

/// Returns the request for a turn of the request with @p head and @p offer. @p expectedTime: the expected time from its
/// turn to its answer. Thread safety: safe.
[[nodiscard]] TurnRequest makeTurnRequest(const CallHead &head, const WorkOffer &offer, Duration expectedTime);

/// Lets coroutines wait for a turn at an upstream with a limited rate. TurnQueue decides which request gets a turn,
/// UpstreamRate when one is due.
///
/// All requests go on when the limit ends. Preconditions: the rate and the metrics outlive the object; no coroutine
/// that waits is resumed after its destruction. Thread safety: none.
class UpstreamTurns
{
public:
    using WaitResult = std::variant<Failure, TurnState>;

    UpstreamTurns(boost::asio::any_io_executor executor, UpstreamRate &rate, Metrics &metrics,
                  const TurnQueueSettings &settings = {});
    ~UpstreamTurns();
    UpstreamTurns(const UpstreamTurns &) = delete;
    UpstreamTurns &operator=(const UpstreamTurns &) = delete;

    /// Returns why @p request would get no turn if it arrived now, with the time after which to come back; nothing if
    /// it would get one in time. Changes no state, but counts the refusal. Precondition: the rate is limited.
    [[nodiscard]] std::optional<Failure> rejection(const TurnRequest &request);
    /// Waits until the request has a turn, or needs none.
    /// Errors: NotRun with RateLimited or Cancelled, or the failure passed to refuseAll() or returned by the rejection
    /// passed to refuseWaiting().
    /// @p target: the upstream that must run the request.
    boost::asio::awaitable<WaitResult> acquire(TurnRequest request, UpstreamName target,
                                               std::shared_ptr<Cancellation> cancellation);
    /// Returns why a request must not be handed over now; nothing if it may be. One that does not have a turn takes one
    /// that is due, unless another request goes before it. Precondition: the rate is limited.
    [[nodiscard]] std::optional<Failure> handOverRejection(const TurnRequest &request, bool hasTurn);
    /// Calls @p rejection with the target of each waiting request and refuses the request with the failure it returns.
    void refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection);

    /// How long a request waits for a turn if it goes behind all others.
    [[nodiscard]] Duration lastWait() const { return queue_.lastWait(rate_.turnSchedule()); }
    /// How long a request of priority 0 waits for a turn; zero also if turns don't go by priority.
    [[nodiscard]] Duration urgentWait() const;
    /// Whether no request waits for a turn.
    [[nodiscard]] bool isIdle() const { return waiters_.empty(); }

private:
    struct Waiter
    {
        Waiter(const boost::asio::any_io_executor &executor, UpstreamName targetUpstream, std::uint8_t requestPriority)
            : wakeUp(executor, boost::asio::steady_timer::time_point::max())
            , target(std::move(targetUpstream))
            , priority(requestPriority)
        {
        }

        /// Never expires. It is cancelled when the wait has ended.
        boost::asio::steady_timer wakeUp;
        UpstreamName target;
        std::uint8_t priority;
        std::optional<WaitResult> result;
    };

    /// Gives out the turns that are due, refuses the requests that can no longer get one in time, and schedules the
    /// next turn. If the limit has ended, all requests go on.
    void update();
    void giveDueTurns();
    void scheduleNextTurn();
    void endWait(CallId call, WaitResult result);
    void refuse(CallId call, Failure failure);
    void countTurn(std::uint8_t priority);
    void countRefusal(std::uint8_t priority);

    boost::asio::any_io_executor executor_;
    UpstreamRate &rate_;
    Metrics &metrics_;
    TurnQueueSettings settings_;
    TurnQueue queue_;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> waiters_;
    /// The handler of a timer that has expired can't be cancelled. It holds a weak reference to this timer and does
    /// nothing once the object was destroyed.
    std::shared_ptr<boost::asio::steady_timer> turnTimer_;
};

}

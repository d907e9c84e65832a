#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "admission/workqueue.h"
#include "core/verdict.h"
#include "rpc/cancellation.h"

namespace Egretpath
{

/// Lets coroutines wait for one of the upstream's slots as WorkQueue decides.
///
/// Thread safety: none. Destroy it only when nothing waits.
class WorkSlots
{
public:
    explicit WorkSlots(boost::asio::any_io_executor executor, const WorkQueueSettings &settings = {});

    /// Returns nothing once the request has a slot, which release() then gives back; else why it has none.
    /// Errors: NotRun with Overloaded, Declined, DeadlinePassed or Cancelled, or what refuseWaiting() was told.
    /// @p target: the upstream that must run the request.
    boost::asio::awaitable<std::optional<Failure>> acquire(WorkOffer offer, UpstreamName target,
                                                           std::shared_ptr<Cancellation> cancellation);
    /// Gives the slot of @p call back. @p answered: its duration tells the service time.
    void release(CallId call, bool answered);
    void setSlots(std::uint32_t slots);
    void setSlowdown(std::uint16_t percent);
    void setExternalRequests(std::uint32_t others);
    /// Refuses each waiting request for whose upstream @p rejection returns a failure, with that failure.
    void refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection);
    /// Ends the wait of @p call, if it waits, with @p failure.
    void refuse(CallId call, Failure failure) { removeQueued(call, std::move(failure)); }
    void setFailureShare(double share) { queue_.setFailureShare(share); }

    /// Calls @p listener whenever a request begins or goes on to wait for what only news of the upstream can end: the
    /// VM's slow spell, or work there that is not from here.
    void onAwaitsNews(std::function<void()> listener) { awaitsNewsListener_ = std::move(listener); }
    [[nodiscard]] bool awaitsNews(TimePoint now) const
    {
        return queue_.needsSlowdownUpdates(now) || queue_.needsExternalLoadUpdates();
    }

    [[nodiscard]] const WorkQueue &queue() const { return queue_; }

private:
    struct Waiter
    {
        Waiter(const boost::asio::any_io_executor &executor, UpstreamName wanted)
            : wakeUp(executor, boost::asio::steady_timer::time_point::max())
            , target(std::move(wanted))
        {
        }

        boost::asio::steady_timer wakeUp;
        UpstreamName target;
        std::optional<Failure> failure;
    };

    boost::asio::awaitable<std::optional<Failure>> waitForTurn(CallId call, UpstreamName target,
                                                               std::shared_ptr<Cancellation> cancellation);
    void start(const std::vector<CallId> &calls);
    void end(CallId call, Failure failure);
    void removeQueued(CallId call, Failure failure);
    void expire();
    void armExpiry();

    WorkQueue queue_;
    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer expiry_;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> waiters_;
    std::function<void()> awaitsNewsListener_;
};

}

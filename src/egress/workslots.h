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

/// Lets coroutines wait for one of the upstream's slots. WorkQueue decides which request gets a slot.
///
/// Thread safety: none. Precondition: no coroutine that waits is resumed after its destruction.
class WorkSlots
{
public:
    explicit WorkSlots(boost::asio::any_io_executor executor, const WorkQueueSettings &settings = {});

    /// Waits until the request has a slot and returns nothing; release() gives the slot back. Returns a failure if the
    /// request gets no slot.
    /// Errors: NotRun with Overloaded, Declined, DeadlinePassed or Cancelled, or the failure passed to refuse() or
    /// returned by the rejection passed to refuseWaiting().
    /// @p target: the upstream that must run the request.
    boost::asio::awaitable<std::optional<Failure>> acquire(WorkOffer offer, UpstreamName target,
                                                           std::shared_ptr<Cancellation> cancellation);
    /// Gives the slot of @p call back. @p answered: the duration of the call counts as a service time.
    void release(CallId call, bool answered);
    void setSlots(std::uint32_t slots);
    void setSlowdown(std::uint16_t percent);
    void setExternalRequests(std::uint32_t requests);
    /// Calls @p rejection with the target of each waiting request and refuses the request with the failure it returns.
    void refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection);
    /// If @p call waits, ends the wait with @p failure.
    void refuse(CallId call, Failure failure) { removeQueued(call, std::move(failure)); }
    void setFailureShare(double share) { queue_.setFailureShare(share); }

    /// Calls @p listener whenever a request starts or continues to wait for a change that only a probe of the upstream
    /// can show: the end of the VM's slow period, or the end of external requests there.
    void onUpstreamUpdatesNeeded(std::function<void()> listener) { updatesNeededListener_ = std::move(listener); }
    [[nodiscard]] bool needsUpstreamUpdates(TimePoint now) const
    {
        return queue_.needsSlowdownUpdates(now) || queue_.needsExternalLoadUpdates();
    }

    /// Calls @p listener whenever a request that waited is displaced by one of higher priority; see WorkQueue.
    void onDisplaced(std::function<void()> listener) { displacedListener_ = std::move(listener); }

    [[nodiscard]] const WorkQueue &queue() const { return queue_; }

private:
    struct Waiter
    {
        Waiter(const boost::asio::any_io_executor &executor, UpstreamName targetUpstream)
            : wakeUp(executor, boost::asio::steady_timer::time_point::max())
            , target(std::move(targetUpstream))
        {
        }

        boost::asio::steady_timer wakeUp;
        UpstreamName target;
        bool hasEnded = false;
        std::optional<Failure> failure;
    };

    boost::asio::awaitable<std::optional<Failure>> waitForSlot(CallId call, UpstreamName target,
                                                               std::shared_ptr<Cancellation> cancellation);
    void resumeWaiters(const std::vector<CallId> &calls);
    void endWait(CallId call, Failure failure);
    void removeQueued(CallId call, Failure failure);
    void expire();
    void scheduleExpiry();

    /// Exists as long as this object, so that cancellations can detect that it was destroyed.
    struct LifetimeToken
    {
    };

    std::shared_ptr<const LifetimeToken> lifetimeToken_ = std::make_shared<LifetimeToken>();
    WorkQueue queue_;
    boost::asio::any_io_executor executor_;
    boost::asio::steady_timer expiryTimer_;
    std::unordered_map<CallId, std::shared_ptr<Waiter>> waiters_;
    std::function<void()> updatesNeededListener_;
    std::function<void()> displacedListener_;
};

}

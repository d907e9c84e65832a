#include "egress/workslots.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

WorkSlots::WorkSlots(asio::any_io_executor executor, const WorkQueueSettings &settings)
    : queue_(settings)
    , executor_(std::move(executor))
    , expiryTimer_(executor_)
{
}

asio::awaitable<std::optional<Failure>> WorkSlots::acquire(WorkOffer offer, UpstreamName target,
                                                           std::shared_ptr<Cancellation> cancellation)
{
    OfferOutcome outcome = queue_.offer(offer, currentTime());
    if (const auto *refused = std::get_if<Refused>(&outcome)) {
        co_return refused->failure;
    }
    if (std::holds_alternative<Admitted>(outcome)) {
        co_return std::nullopt;
    }
    if (auto &displaced = std::get<Queued>(outcome).displaced) {
        endWait(displaced->call, std::move(displaced->failure));
        if (displacedListener_) {
            displacedListener_();
        }
    }
    co_return co_await waitForSlot(offer.call, std::move(target), std::move(cancellation));
}

asio::awaitable<std::optional<Failure>> WorkSlots::waitForSlot(CallId call, UpstreamName target,
                                                               std::shared_ptr<Cancellation> cancellation)
{
    const auto waiter = std::make_shared<Waiter>(executor_, std::move(target));
    waiters_.emplace(call, waiter);
    scheduleExpiry();
    // At the end of the process, calls are cancelled when this object is gone already.
    cancellation->setAction([this, weak = std::weak_ptr(lifetimeToken_), call] {
        if (!weak.expired()) {
            removeQueued(call, notRun(Reason::Cancelled, "cancelled while it waited for a slot"));
        }
    });
    // The loop ends at once if the call was cancelled before it waits.
    while (!waiter->hasEnded) {
        boost::system::error_code ignored;
        co_await waiter->wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    cancellation->clearAction();
    co_return waiter->failure;
}

void WorkSlots::release(CallId call, bool answered)
{
    resumeWaiters(queue_.finish(call, answered, currentTime()));
    expire();
}

void WorkSlots::setSlots(std::uint32_t slots)
{
    resumeWaiters(queue_.setSlots(slots, currentTime()));
}

void WorkSlots::setSlowdown(std::uint16_t percent)
{
    resumeWaiters(queue_.setSlowdown(percent, currentTime()));
}

void WorkSlots::setExternalRequests(std::uint32_t requests)
{
    resumeWaiters(queue_.setExternalRequests(requests, currentTime()));
}

void WorkSlots::resumeWaiters(const std::vector<CallId> &calls)
{
    for (const CallId call : calls) {
        if (const auto found = waiters_.extract(call)) {
            found.mapped()->hasEnded = true;
            found.mapped()->wakeUp.cancel();
        }
    }
}

void WorkSlots::endWait(CallId call, Failure failure)
{
    if (const auto found = waiters_.extract(call)) {
        found.mapped()->failure = std::move(failure);
        found.mapped()->hasEnded = true;
        found.mapped()->wakeUp.cancel();
    }
}

void WorkSlots::refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection)
{
    // The failures are collected first, because ending a wait removes its entry from waiters_.
    std::vector<std::pair<CallId, Failure>> refused;
    for (const auto &[call, waiter] : waiters_) {
        if (auto failure = rejection(waiter->target)) {
            refused.emplace_back(call, std::move(*failure));
        }
    }
    for (auto &[call, failure] : refused) {
        removeQueued(call, std::move(failure));
    }
}

void WorkSlots::removeQueued(CallId call, Failure failure)
{
    if (queue_.cancel(call) == CancelOutcome::WasQueued) {
        endWait(call, std::move(failure));
    }
}

void WorkSlots::expire()
{
    const TimePoint now = currentTime();
    for (ExpiredCall &expired : queue_.expire(now)) {
        endWait(expired.call, std::move(expired.failure));
    }
    resumeWaiters(queue_.resume(now));
    scheduleExpiry();
}

void WorkSlots::scheduleExpiry()
{
    const TimePoint now = currentTime();
    if (updatesNeededListener_ && needsUpstreamUpdates(now)) {
        updatesNeededListener_();
    }
    const std::optional<TimePoint> next = queue_.nextExpiry(now);
    if (!next) {
        expiryTimer_.cancel();
        return;
    }
    expiryTimer_.expires_at(*next);
    expiryTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            expire();
        }
    });
}

}

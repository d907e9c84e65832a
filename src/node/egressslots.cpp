#include "node/egressslots.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

EgressSlots::EgressSlots(asio::any_io_executor executor, AdmissionCaps caps)
    : admission_(caps)
    , executor_(std::move(executor))
    , expiry_(executor_)
{
}

asio::awaitable<std::optional<Failure>> EgressSlots::acquire(CallId call, CallClass callClass, TimePoint deadline,
                                                             std::shared_ptr<Cancellation> cancellation)
{
    const OfferOutcome outcome = admission_.offer(call, callClass, deadline, currentTime());
    if (const auto *refused = std::get_if<Refused>(&outcome)) {
        co_return refused->failure;
    }
    if (std::holds_alternative<Admitted>(outcome)) {
        co_return std::nullopt;
    }
    co_return co_await waitForTurn(call, std::move(cancellation));
}

asio::awaitable<std::optional<Failure>> EgressSlots::waitForTurn(CallId call,
                                                                 std::shared_ptr<Cancellation> cancellation)
{
    const auto waiter = std::make_shared<Waiter>(executor_);
    waiters_.emplace(call, waiter);
    armExpiry();
    cancellation->setAction([this, call] { cancelQueued(call); });
    boost::system::error_code ignored;
    co_await waiter->wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancellation->clearAction();
    co_return waiter->failure;
}

void EgressSlots::release(CallId call, bool answered)
{
    start(answered ? admission_.finish(call, currentTime()) : admission_.abandon(call, currentTime()));
    expire();
}

void EgressSlots::setCaps(const AdmissionCaps &caps)
{
    start(admission_.setCaps(caps, currentTime()));
}

LoadReport EgressSlots::report() const
{
    return admission_.report(currentTime());
}

void EgressSlots::start(const std::vector<CallId> &calls)
{
    for (const CallId call : calls) {
        if (const auto found = waiters_.extract(call)) {
            found.mapped()->wakeUp.cancel();
        }
    }
}

void EgressSlots::end(CallId call, Failure failure)
{
    if (const auto found = waiters_.extract(call)) {
        found.mapped()->failure = std::move(failure);
        found.mapped()->wakeUp.cancel();
    }
}

void EgressSlots::cancelQueued(CallId call)
{
    if (admission_.cancel(call) == CancelOutcome::WasQueued) {
        end(call, notRun(Reason::Cancelled, "cancelled while it waited for a slot"));
    }
}

void EgressSlots::expire()
{
    for (ExpiredCall &expired : admission_.expire(currentTime())) {
        end(expired.call, std::move(expired.failure));
    }
    armExpiry();
}

void EgressSlots::armExpiry()
{
    const std::optional<TimePoint> next = admission_.nextExpiry();
    if (!next) {
        expiry_.cancel();
        return;
    }
    expiry_.expires_at(*next);
    expiry_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            expire();
        }
    });
}

}

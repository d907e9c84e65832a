#include "egress/upstreamturns.h"

#include <algorithm>
#include <utility>
#include <vector>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

std::string priorityLabel(std::uint8_t priority)
{
    return "priority=\"" + std::to_string(priority) + '"';
}

}

TurnRequest makeTurnRequest(const CallHead &head, const WorkOffer &offer, Duration expectedTime)
{
    TurnRequest request;
    request.call = offer.call;
    request.priority = offer.priority;
    // Nodes of an earlier version don't say that a call is dependent, but a late answer is worth nothing to its caller.
    request.isDependent = head.isDependent || offer.target >= offer.deadline;
    request.target = offer.target;
    request.deadline = offer.deadline;
    request.expectedTime = expectedTime;
    if (offer.declineThreshold > Duration{0}) {
        request.declineAfter = offer.declineThreshold - expectedTime;
    }
    return request;
}

UpstreamTurns::UpstreamTurns(asio::any_io_executor executor, UpstreamRate &rate, Metrics &metrics,
                             const TurnQueueSettings &settings)
    : executor_(std::move(executor))
    , rate_(rate)
    , metrics_(metrics)
    , settings_(settings)
    , queue_(settings)
    , turnTimer_(std::make_shared<asio::steady_timer>(executor_))
{
    rate_.onLimitChanged([this] { update(); });
}

UpstreamTurns::~UpstreamTurns()
{
    rate_.onLimitChanged(nullptr);
}

std::optional<Failure> UpstreamTurns::rejection(const TurnRequest &request)
{
    const TimePoint now = currentTime();
    const Duration wait = queue_.expectedWait(request, rate_.turnSchedule(), now);
    if (wait <= queue_.maxWait(request, now)) {
        return std::nullopt;
    }
    countRefusal(request.priority);
    return rate_.refusal(wait);
}

asio::awaitable<UpstreamTurns::WaitResult> UpstreamTurns::acquire(TurnRequest request, UpstreamName target,
                                                                  std::shared_ptr<Cancellation> cancellation)
{
    if (!rate_.isLimited()) {
        co_return TurnState::NotNeeded;
    }
    const auto waiter = std::make_shared<Waiter>(executor_, std::move(target), request.priority);
    queue_.add(request, currentTime());
    waiters_.emplace(request.call, waiter);
    update();
    // At the end of the process, calls are cancelled when this object is gone already.
    cancellation->setAction([this, weak = std::weak_ptr(turnTimer_), call = request.call] {
        if (!weak.expired()) {
            refuse(call, notRun(Reason::Cancelled, "cancelled while it waited for a turn"));
        }
    });
    // The loop ends at once if update() has already ended the wait.
    while (!waiter->result) {
        boost::system::error_code ignored;
        co_await waiter->wakeUp.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    cancellation->clearAction();
    co_return std::move(*waiter->result);
}

std::optional<Failure> UpstreamTurns::handOverRejection(const TurnRequest &request, bool hasTurn)
{
    const Duration wait = queue_.expectedWait(request, rate_.turnSchedule(), currentTime());
    if (!rate_.hasRoom()) {
        return rate_.refusal(wait);
    }
    if (hasTurn) {
        return std::nullopt;
    }
    if (wait > Duration{0}) {
        countRefusal(request.priority);
        return rate_.refusal(wait);
    }
    rate_.takeTurn();
    queue_.onDirectTurn(request.priority);
    countTurn(request.priority);
    update();
    return std::nullopt;
}

void UpstreamTurns::refuseWaiting(const std::function<std::optional<Failure>(const UpstreamName &)> &rejection)
{
    // The failures are collected first, because ending a wait removes its entry from waiters_.
    std::vector<std::pair<CallId, Failure>> refused;
    for (const auto &[call, waiter] : waiters_) {
        if (auto failure = rejection(waiter->target)) {
            refused.emplace_back(call, std::move(*failure));
        }
    }
    for (auto &[call, failure] : refused) {
        refuse(call, std::move(failure));
    }
}

Duration UpstreamTurns::urgentWait() const
{
    return settings_.ordersByPriority ? queue_.urgentWait(rate_.turnSchedule(), currentTime()) : Duration{0};
}

void UpstreamTurns::update()
{
    if (!rate_.isLimited()) {
        while (!waiters_.empty()) {
            const CallId call = waiters_.begin()->first;
            queue_.remove(call);
            endWait(call, TurnState::NotNeeded);
        }
        return;
    }
    giveDueTurns();
    const TurnSchedule schedule = rate_.turnSchedule();
    for (const CallId call : queue_.removeHopeless(schedule, currentTime())) {
        const std::shared_ptr<Waiter> waiter = waiters_.at(call);
        countRefusal(waiter->priority);
        endWait(call, rate_.refusal(queue_.lastWait(schedule)));
    }
    scheduleNextTurn();
}

void UpstreamTurns::giveDueTurns()
{
    while (!queue_.isEmpty() && rate_.turnSchedule().untilNext <= Duration{0}) {
        const std::optional<CallId> call = queue_.next(currentTime());
        rate_.takeTurn();
        countTurn(waiters_.at(*call)->priority);
        endWait(*call, TurnState::Taken);
    }
}

void UpstreamTurns::scheduleNextTurn()
{
    if (queue_.isEmpty()) {
        turnTimer_->cancel();
        return;
    }
    turnTimer_->expires_at(currentTime() + rate_.turnSchedule().untilNext);
    turnTimer_->async_wait([this, weak = std::weak_ptr(turnTimer_)](const boost::system::error_code &error) {
        const auto timer = weak.lock();
        if (timer && !error) {
            update();
        }
    });
}

void UpstreamTurns::endWait(CallId call, WaitResult result)
{
    if (const auto found = waiters_.extract(call)) {
        found.mapped()->result = std::move(result);
        found.mapped()->wakeUp.cancel();
    }
}

void UpstreamTurns::refuse(CallId call, Failure failure)
{
    queue_.remove(call);
    endWait(call, std::move(failure));
}

void UpstreamTurns::countTurn(std::uint8_t priority)
{
    metrics_.count("egretpath_turns_total", priorityLabel(priority));
}

void UpstreamTurns::countRefusal(std::uint8_t priority)
{
    metrics_.count("egretpath_turns_refused_total", priorityLabel(priority));
}

}

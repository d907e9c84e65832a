#include "http/sockettimer.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace Egretpath
{

struct SocketTimer::State
{
    boost::asio::steady_timer timer;
    std::function<void()> onExpired;
    TimePoint deadline = TimePoint::max();
    /// When the pending wait ends; max() if no wait is pending.
    TimePoint waitEnd = TimePoint::max();
    std::uint64_t generation = 0;
};

SocketTimer::SocketTimer(const boost::asio::any_io_executor &executor, std::function<void()> onExpired)
    : state_(new State{boost::asio::steady_timer(executor), std::move(onExpired)})
{
}

SocketTimer::~SocketTimer()
{
    state_->onExpired = nullptr;
    state_->timer.cancel();
}

void SocketTimer::expireAt(TimePoint time)
{
    state_->deadline = time;
    if (time < state_->waitEnd) {
        startWait(state_);
    }
}

void SocketTimer::expireAfter(Duration duration)
{
    expireAt(std::chrono::steady_clock::now() + duration);
}

void SocketTimer::disarm()
{
    state_->deadline = TimePoint::max();
}

void SocketTimer::startWait(const std::shared_ptr<State> &state)
{
    state->waitEnd = state->deadline;
    const std::uint64_t generation = ++state->generation;
    state->timer.expires_at(state->deadline);
    state->timer.async_wait([state, generation](boost::system::error_code) {
        // A wait that was replaced may still complete normally if it had already expired.
        if (generation != state->generation || !state->onExpired) {
            return;
        }
        state->waitEnd = TimePoint::max();
        if (state->deadline == TimePoint::max()) {
            return;
        }
        if (state->deadline > std::chrono::steady_clock::now()) {
            startWait(state);
            return;
        }
        state->deadline = TimePoint::max();
        const auto onExpired = state->onExpired; // A copy, since the call may destroy this object and its function.
        onExpired();
    });
}

}

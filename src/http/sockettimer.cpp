#include "http/sockettimer.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>

namespace Egretpath
{

struct SocketTimer::State
{
    boost::asio::steady_timer timer;
    std::function<void()> expired;
    TimePoint limit = TimePoint::max();
    /// When the pending wait ends; max() when none is pending.
    TimePoint armed = TimePoint::max();
    std::uint64_t generation = 0;
};

SocketTimer::SocketTimer(const boost::asio::any_io_executor &executor, std::function<void()> expired)
    : state_(new State{boost::asio::steady_timer(executor), std::move(expired)})
{
}

SocketTimer::~SocketTimer()
{
    state_->expired = nullptr;
    state_->timer.cancel();
}

void SocketTimer::expireAt(TimePoint time)
{
    state_->limit = time;
    if (time < state_->armed) {
        wait(state_);
    }
}

void SocketTimer::expireAfter(Duration duration)
{
    expireAt(std::chrono::steady_clock::now() + duration);
}

void SocketTimer::disarm()
{
    state_->limit = TimePoint::max();
}

void SocketTimer::wait(const std::shared_ptr<State> &state)
{
    state->armed = state->limit;
    const std::uint64_t generation = ++state->generation;
    state->timer.expires_at(state->limit);
    state->timer.async_wait([state, generation](boost::system::error_code) {
        // A wait that was replaced may still end normally when both times passed at once.
        if (generation != state->generation || !state->expired) {
            return;
        }
        state->armed = TimePoint::max();
        if (state->limit == TimePoint::max()) {
            return;
        }
        if (state->limit > std::chrono::steady_clock::now()) {
            wait(state);
            return;
        }
        state->limit = TimePoint::max();
        const auto expired = state->expired; // The call may destroy the timer and with it the stored function.
        expired();
    });
}

}

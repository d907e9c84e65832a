#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// A timeout for the operations on a socket: calls a function when the deadline passes.
///
/// Moving the deadline to a later time does not restart the underlying timer; the timer checks the deadline when it
/// fires. This is cheap, which matters because every exchange moves its deadline several times and almost never reaches
/// it. Thread safety: none.
class SocketTimer
{
public:
    SocketTimer(const boost::asio::any_io_executor &executor, std::function<void()> onExpired);
    ~SocketTimer();
    SocketTimer(const SocketTimer &) = delete;
    SocketTimer &operator=(const SocketTimer &) = delete;

    /// Calls the function once at @p time. Replaces the previous deadline.
    void expireAt(TimePoint time);
    void expireAfter(Duration duration);
    /// Removes the deadline: the function is not called until the next expireAt() or expireAfter().
    void disarm();

private:
    struct State;
    static void startWait(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state_;
};

}

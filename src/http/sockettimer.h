#pragma once

#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// Calls back when an operation on a socket took too long.
///
/// Setting a later time costs nothing: the armed timer finds out when it fires. That matters because every exchange
/// moves its limit several times and almost never reaches it. Thread safety: none.
class SocketTimer
{
public:
    SocketTimer(const boost::asio::any_io_executor &executor, std::function<void()> expired);
    ~SocketTimer();
    SocketTimer(const SocketTimer &) = delete;
    SocketTimer &operator=(const SocketTimer &) = delete;

    /// Calls back at @p time, once; replaces an earlier limit.
    void expireAt(TimePoint time);
    void expireAfter(Duration duration);
    /// No call back until the next expireAt().
    void disarm();

private:
    struct State;
    static void wait(const std::shared_ptr<State> &state);

    std::shared_ptr<State> state_;
};

}

#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// Runs the coroutines of a test on one thread and fails the test if they do not finish.
class EventLoop
{
public:
    [[nodiscard]] boost::asio::any_io_executor executor() { return context_.get_executor(); }
    /// Runs @p scenario and everything else on the executor until @p scenario finishes. Rethrows its exceptions.
    void run(std::function<boost::asio::awaitable<void>()> scenario);
    /// Resumes after @p duration.
    [[nodiscard]] boost::asio::awaitable<void> sleep(Duration duration);
    /// Resumes with true when @p condition holds, and with false if it does not hold after some seconds.
    [[nodiscard]] boost::asio::awaitable<bool> waitUntil(std::function<bool()> condition);

private:
    boost::asio::io_context context_{1};
};

}

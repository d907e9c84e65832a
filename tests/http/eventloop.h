#pragma once

#include <functional>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// Runs coroutines of a test on one thread and fails the test when they do not end.
class EventLoop
{
public:
    [[nodiscard]] boost::asio::any_io_executor executor() { return context_.get_executor(); }
    /// Runs @p scenario to its end, together with all else on the executor. Throws what it throws.
    void run(std::function<boost::asio::awaitable<void>()> scenario);
    /// Resumes after @p duration.
    [[nodiscard]] boost::asio::awaitable<void> sleep(Duration duration);
    /// Resumes when @p condition holds; gives up after some seconds.
    [[nodiscard]] boost::asio::awaitable<bool> until(std::function<bool()> condition);

private:
    boost::asio::io_context context_{1};
};

}

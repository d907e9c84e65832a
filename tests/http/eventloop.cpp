#include "eventloop.h"

#include <exception>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Egretpath
{

namespace asio = boost::asio;

void EventLoop::run(std::function<asio::awaitable<void>()> scenario)
{
    constexpr std::chrono::seconds Limit{10};
    bool finished = false;
    std::exception_ptr thrown;
    asio::co_spawn(context_, std::move(scenario), [&](std::exception_ptr error) {
        finished = true;
        thrown = error;
        context_.stop();
    });
    context_.restart();
    context_.run_for(Limit);
    if (thrown) {
        std::rethrow_exception(thrown);
    }
    if (!finished) {
        throw std::runtime_error("the scenario did not finish");
    }
}

asio::awaitable<void> EventLoop::sleep(Duration duration)
{
    asio::steady_timer timer(context_, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<bool> EventLoop::waitUntil(std::function<bool()> condition)
{
    constexpr int Attempts = 5000;
    for (int attempt = 0; attempt < Attempts; ++attempt) {
        if (condition()) {
            co_return true;
        }
        co_await sleep(Milliseconds(1));
    }
    co_return false;
}

}

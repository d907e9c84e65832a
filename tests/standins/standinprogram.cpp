#include "standins/standinprogram.h"

#include <csignal>
#include <iostream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds StopTimeout{10};

asio::awaitable<void> stopOnSignal(asio::io_context &context, HttpServer &server)
{
    asio::signal_set signals(context, SIGINT, SIGTERM);
    co_await signals.async_wait(asio::use_awaitable);
    server.stopAccepting();
    asio::steady_timer limit(context, StopTimeout);
    limit.async_wait([&context](boost::system::error_code) { context.stop(); });
    co_await server.waitUntilDrained();
    context.stop();
}

}

int StandinProgram::serve(const Endpoint &endpoint, HttpServer::Handler handler)
{
    HttpServer server(executor(), HttpLimits(), std::move(handler));
    const auto bound = server.listen(endpoint);
    if (!bound) {
        std::cerr << bound.error().detail << '\n';
        return EXIT_FAILURE;
    }
    // Flushed, since the process that started the program waits for this line.
    std::cout << "listening " << bound.value() << std::endl;
    asio::co_spawn(context_, stopOnSignal(context_, server), asio::detached);
    context_.run();
    return EXIT_SUCCESS;
}

asio::awaitable<void> sleepFor(Duration duration)
{
    asio::steady_timer timer(co_await asio::this_coro::executor, duration);
    co_await timer.async_wait(asio::use_awaitable);
}

asio::awaitable<Result<std::string>> readCompleteBody(HttpExchange &exchange)
{
    std::string body;
    for (;;) {
        auto piece = co_await exchange.readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return body;
        }
        body += piece.value();
    }
}

asio::awaitable<void> respondText(HttpExchange &exchange, std::uint16_t status, std::string text)
{
    (void)co_await exchange.respond(HttpResponseHead(status), std::move(text));
}

}

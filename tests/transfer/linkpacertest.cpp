#include "transfer/linkpacer.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "awaitedcheck.h"
#include "eventloop.h"
#include "http/httpconnectionpool.h"
#include "http/httpserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

EventLogSettings quietLog()
{
    EventLogSettings settings;
    settings.level = "off";
    return settings;
}

/// A body whose bytes differ from chunk to chunk, so that a changed order shows.
std::string numberedBody(std::size_t size)
{
    std::string body;
    while (body.size() < size) {
        body += std::to_string(body.size()) + ",";
    }
    return body;
}

/// A server on loopback whose answers pass through a pacer.
struct PacedServer
{
    explicit PacedServer(double megabitsPerSecond)
        : pacer(makeLinkPacer(loop.executor(), megabitsPerSecond, log, metrics))
        , server(loop.executor(), HttpLimits(), [this](HttpExchange &exchange) { return answer(exchange); })
        , address(server.listen(Endpoint("127.0.0.1:0")).value())
        , pool(loop.executor(), HttpPoolLimits())
    {
    }

    asio::awaitable<void> answer(HttpExchange &exchange)
    {
        const auto transfer = pacer->open(2);
        const Result<void> started = co_await exchange.startResponse(HttpResponseHead(200), body.size());
        PacedTransfer::ChunkWriter writer = [&exchange](std::string chunk) -> asio::awaitable<bool> {
            const Result<void> written = co_await exchange.writeBody(std::move(chunk));
            co_return written.has_value();
        };
        const bool isWritten = co_await transfer->write(body, std::move(writer));
        if (started && isWritten) {
            [[maybe_unused]] const Result<void> finished = co_await exchange.finishResponse();
        }
    }

    asio::awaitable<void> fetch()
    {
        constexpr Bytes MaxAnswer{10'000'000};
        auto opened = co_await pool.open(address, std::chrono::steady_clock::now() + std::chrono::seconds(8),
                                         HttpConnectionChoice::Fresh);
        const HttpRequestHead head("GET", "/");
        [[maybe_unused]] const auto sent = co_await opened.value()->sendRequest(head, std::string());
        [[maybe_unused]] const auto answered = co_await opened.value()->readHead();
        const auto content = co_await opened.value()->readCompleteBody(MaxAnswer);
        received.push_back(content ? content.value() : std::string());
    }

    EventLoop loop;
    EventLog log{quietLog()};
    Metrics metrics;
    std::unique_ptr<LinkPacer> pacer;
    std::string body = numberedBody(200'000);
    std::vector<std::string> received;
    HttpServer server;
    Endpoint address;
    HttpConnectionPool pool;
};

}

// Guards against chunks that change places or are lost while two answers take turns, and against writes that are not
// paced at all.
TEST_CASE("two answers over real sockets arrive whole, at the rate of the link")
{
    PacedServer fixture(20.0);
    const auto begin = std::chrono::steady_clock::now();
    fixture.loop.run([&]() -> asio::awaitable<void> {
        for (int count = 0; count < 2; ++count) {
            asio::co_spawn(fixture.loop.executor(), fixture.fetch(), asio::detached);
        }
        const bool isBacklogged =
            co_await fixture.loop.waitUntil([&] { return fixture.pacer->backlog() > Milliseconds(10); });
        checkAwaited(isBacklogged);
        const bool areBothReceived = co_await fixture.loop.waitUntil([&] { return fixture.received.size() == 2; });
        checkAwaited(areBothReceived);
    });
    // 400 KB at 18 Mbit/s take 178 ms, of which the last chunk need not be waited for.
    CHECK(std::chrono::steady_clock::now() - begin > Milliseconds(150));
    CHECK(fixture.received == std::vector<std::string>(2, fixture.body));
    CHECK(fixture.metrics.counter("egretpath_link_bulk_bytes_total") == 2 * fixture.body.size());
    CHECK(fixture.pacer->waitingChunks() == 0);
}

// Guards against a cancelled answer that keeps its place on the link, or that is written after its exchange has ended.
TEST_CASE("a cancelled transfer writes nothing more and releases its place")
{
    PacedServer fixture(1.0);
    int written = 0;
    bool hasEnded = false;
    const auto transfer = fixture.pacer->open(0);
    fixture.loop.run([&]() -> asio::awaitable<void> {
        const auto write = [&]() -> asio::awaitable<void> {
            PacedTransfer::ChunkWriter writer = [&](std::string /*chunk*/) -> asio::awaitable<bool> {
                ++written;
                co_return true;
            };
            const bool isWritten = co_await transfer->write(fixture.body, std::move(writer));
            hasEnded = !isWritten;
        };
        asio::co_spawn(fixture.loop.executor(), write, asio::detached);
        const bool hasBegun = co_await fixture.loop.waitUntil([&] { return written == 1; });
        checkAwaited(hasBegun);
        transfer->cancel();
        const bool isOver = co_await fixture.loop.waitUntil([&] { return hasEnded; });
        checkAwaited(isOver);
    });
    CHECK(written == 1);
    CHECK(fixture.pacer->waitingChunks() == 0);
}

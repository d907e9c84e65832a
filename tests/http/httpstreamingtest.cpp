#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>

#include "awaitedcheck.h"
#include "eventloop.h"
#include "http/httpconnectionpool.h"
#include "http/httpserver.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

constexpr std::size_t BodySize = std::size_t{8} * 1024 * 1024;
constexpr std::size_t PieceSize = 10000;

/// Content with a pattern that reveals a lost or repeated piece.
std::string patternContent(std::size_t begin, std::size_t length)
{
    constexpr std::size_t Period = 251;
    std::string text(length, '\0');
    for (std::size_t index = 0; index < length; ++index) {
        text[index] = static_cast<char>((begin + index) % Period);
    }
    return text;
}

TimePoint testDeadline()
{
    return std::chrono::steady_clock::now() + std::chrono::seconds(20);
}

/// Reads with @p read until the end and checks the content and size of the pieces. Returns the total size.
template<typename Read>
asio::awaitable<std::size_t> readAndCheck(Read read, std::size_t maxPieceBytes)
{
    std::size_t total = 0;
    for (;;) {
        auto piece = co_await read();
        REQUIRE(piece);
        if (piece.value().empty()) {
            co_return total;
        }
        REQUIRE(piece.value().size() <= maxPieceBytes);
        REQUIRE(piece.value() == patternContent(total, piece.value().size()));
        total += piece.value().size();
    }
}

template<typename Write>
asio::awaitable<void> writeContent(Write write)
{
    for (std::size_t sent = 0; sent < BodySize; sent += PieceSize) {
        const auto written = co_await write(patternContent(sent, std::min(PieceSize, BodySize - sent)));
        REQUIRE(written);
    }
}

}

TEST_CASE("8 MiB are streamed in both directions with a small buffer, with and without a length")
{
    const bool chunked = GENERATE(false, true);
    const std::optional<std::uint64_t> length = chunked ? std::nullopt : std::optional<std::uint64_t>(BodySize);
    EventLoop loop;
    HttpLimits limits;
    limits.readBufferBytes = 16384;
    std::size_t uploaded = 0;
    HttpServer server(loop.executor(), limits, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        uploaded = co_await readAndCheck([&] { return exchange.readBody(); }, limits.readBufferBytes);
        requireAwaited(co_await exchange.startResponse({}, length));
        co_await writeContent([&](std::string piece) { return exchange.writeBody(std::move(piece)); });
        requireAwaited(co_await exchange.finishResponse());
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpPoolLimits poolLimits;
    poolLimits.readBufferBytes = 32768;
    HttpConnectionPool pool(loop.executor(), poolLimits);
    loop.run([&]() -> asio::awaitable<void> {
        for (int turn = 0; turn < 2; ++turn) {
            auto opened = co_await pool.open(endpoint, testDeadline());
            REQUIRE(opened);
            HttpClientCall &call = *opened.value();
            CHECK(call.isConnectionReused() == (turn == 1));
            HttpRequestHead head;
            head.method = "POST";
            head.contentLength = length;
            REQUIRE(call.sendHead(head));
            CHECK_FALSE(call.isFirstByteSent());
            co_await writeContent([&](std::string piece) { return call.writeBody(std::move(piece)); });
            requireAwaited(co_await call.finishRequest());
            CHECK(call.isFirstByteSent());
            auto response = co_await call.readHead();
            REQUIRE(response);
            CHECK(response.value().contentLength == length);
            checkAwaited(co_await readAndCheck([&] { return call.readBody(); }, poolLimits.readBufferBytes)
                         == BodySize);
            CHECK(uploaded == BodySize);
        }
    });
    CHECK(pool.counts().opened == 1);
}

// The upstream crashes in the middle of an answer. The caller must detect that the answer ended early, and must not get
// half of it as a complete answer.
TEST_CASE("an answer that is aborted half way never appears complete to the caller")
{
    const bool chunked = GENERATE(false, true);
    EventLoop loop;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        (void)co_await exchange.startResponse({}, chunked ? std::nullopt : std::optional<std::uint64_t>(100));
        (void)co_await exchange.writeBody("half");
        co_await loop.sleep(Milliseconds(5));
        exchange.abort();
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(endpoint, testDeadline());
        REQUIRE(opened);
        requireAwaited(co_await opened.value()->sendRequest({}, {}));
        requireAwaited(co_await opened.value()->readHead());
        const auto body = co_await opened.value()->readCompleteBody(Bytes(1000));
        REQUIRE_FALSE(body);
        CHECK(body.error().verdict == Verdict::MayHaveRun);
        CHECK(body.error().reason == Reason::BadAnswer);
        opened.value().reset();
        CHECK(pool.connectionCount() == 0);
    });
}

#include "http/httpconnectionpool.h"
#include "http/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "awaitedcheck.h"
#include "eventloop.h"
#include "rawconnection.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";
/// The system takes an answer of this size at once, but its caller gets most of it only while it reads.
constexpr std::size_t LargeBody = std::size_t{1} * 1024 * 1024;

/// Answers every request with a large body and counts the requests.
struct LargeAnswers
{
    explicit LargeAnswers(EventLoop &loop)
        : server(std::make_unique<HttpServer>(loop.executor(), HttpLimits(),
                                              [this](HttpExchange &exchange) { return answer(exchange); }))
        , endpoint(server->listen(Endpoint("127.0.0.1:0")).value())
    {
    }

    asio::awaitable<void> answer(HttpExchange &exchange)
    {
        ++handled;
        const auto sent = co_await exchange.respond({}, std::string(LargeBody, 'x'));
        answered += sent ? 1 : 0;
    }

    int handled = 0;
    int answered = 0;
    std::unique_ptr<HttpServer> server;
    Endpoint endpoint;
};

/// Returns the bytes of the body in @p answer, which has only one.
std::size_t bodyBytes(const std::string &answer)
{
    const std::size_t end = answer.find("\r\n\r\n");
    return end == std::string::npos ? 0 : answer.size() - end - 4;
}

}

// Guards against a caller that loses the end of its answer because it sent something while the server closed the
// connection.
TEST_CASE("an answer that closes the connection arrives whole although the caller sends more")
{
    EventLoop loop;
    LargeAnswers answers(loop);
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(answers.endpoint);
        answers.server->disableKeepAlive();
        co_await caller.send(Get);
        checkAwaited(co_await loop.waitUntil([&] { return answers.answered == 1; }));
        co_await loop.sleep(Milliseconds(20));
        co_await caller.send(Get);
        co_await loop.sleep(Milliseconds(20));
        answer = co_await caller.receiveAll();
    });
    CHECK(bodyBytes(answer) == LargeBody);
    CHECK(answers.handled == 1);
}

// Guards against a process that ends and takes back the answers that it has just given.
TEST_CASE("an answer that was given before the server ends arrives whole")
{
    const bool hasAskedAgain = GENERATE(false, true);
    EventLoop loop;
    LargeAnswers answers(loop);
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(answers.endpoint);
        co_await caller.send(Get);
        checkAwaited(co_await loop.waitUntil([&] { return answers.answered == 1; }));
        if (hasAskedAgain) {
            answers.server->stopAccepting();
            co_await caller.send("GET /b HT");
        }
        answers.server.reset();
        co_await loop.sleep(Milliseconds(20));
        answer = co_await caller.receiveAll();
    });
    CHECK(bodyBytes(answer) == LargeBody);
}

// Guards against a request that is run for nobody: its caller sends it again, since the answer before it closes the
// connection.
TEST_CASE("a request that comes behind an answer which closes the connection is not handled")
{
    EventLoop loop;
    int handled = 0;
    bool isSecondSent = false;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        (void)co_await exchange.startResponse({}, std::nullopt);
        (void)co_await exchange.writeBody("first ");
        checkAwaited(co_await loop.waitUntil([&] { return isSecondSent; }));
        co_await loop.sleep(Milliseconds(20));
        (void)co_await exchange.writeBody("last");
        (void)co_await exchange.finishResponse();
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    server.disableKeepAlive();
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get);
        answer = co_await caller.receiveUntil("first \r\n");
        co_await caller.send(Get);
        isSecondSent = true;
        answer += co_await caller.receiveAll();
    });
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(answer.ends_with("4\r\nlast\r\n0\r\n\r\n"));
    CHECK(handled == 1);
}

namespace
{

/// Takes an answer slowly, but never pauses for as long as SlowLimits allow. Returns all that arrives.
asio::awaitable<std::string> receiveSlowly(EventLoop &loop, RawConnection &caller)
{
    std::string answer;
    std::string piece;
    do {
        piece = co_await caller.receiveSome(std::size_t{256} * 1024);
        answer += piece;
        co_await loop.sleep(Milliseconds(15));
    } while (!piece.empty());
    co_return answer;
}

/// The large answer takes several times the idle time.
HttpLimits slowLimits()
{
    HttpLimits limits;
    limits.idleTime = Milliseconds(200);
    limits.headerReadTime = Milliseconds(200);
    return limits;
}

constexpr std::size_t SlowBody = 8 * LargeBody;

}

// Guards against an answer that is broken off although its caller takes it all the time.
TEST_CASE("an answer may take longer than the idle time while its caller takes bytes of it")
{
    EventLoop loop;
    HttpServer server(loop.executor(), slowLimits(), [&](HttpExchange &exchange) -> asio::awaitable<void> {
        (void)co_await exchange.respond({}, std::string(SlowBody, 'x'));
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get);
        answer = co_await receiveSlowly(loop, caller);
    });
    CHECK(bodyBytes(answer) == SlowBody);
}

// Guards against an answer that is broken off because the request behind it stalls.
TEST_CASE("an answer under way goes on while the request behind it stalls")
{
    EventLoop loop;
    const std::string stalled = GENERATE(std::string("POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc"),
                                         std::string("GET /b HTTP/1.1\r\nHo"));
    HttpServer server(loop.executor(), slowLimits(), [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/b") {
            (void)co_await exchange.readBody();
            const auto more = co_await exchange.readBody();
            (void)co_await exchange.respond(HttpResponseHead(more ? 200 : 408), "b");
            co_return;
        }
        (void)co_await exchange.respond({}, std::string(SlowBody, 'x'));
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get + stalled);
        answer = co_await receiveSlowly(loop, caller);
    });
    CHECK(answer.find("HTTP/1.1 408") > SlowBody);
    CHECK(answer.size() > SlowBody);
}

// The system's own limit for unacknowledged bytes, 2.5 s here, would also end a connection whose reader pauses.
TEST_CASE("an answer goes on after its caller has paused, and so does the request behind it")
{
    EventLoop loop;
    HttpServer server(loop.executor(), {}, [](HttpExchange &exchange) -> asio::awaitable<void> {
        std::string body = "short end";
        if (exchange.head().target == "/large") {
            body.assign(std::size_t{16} * 1024 * 1024, 'l');
        }
        (void)co_await exchange.respond({}, std::move(body));
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("GET /large HTTP/1.1\r\nHost: h\r\n\r\nGET /short HTTP/1.1\r\nHost: h\r\n\r\n");
        co_await loop.sleep(Milliseconds(3500));
        const std::string answers = co_await caller.receiveUntil("short end");
        CHECK(answers.size() > std::size_t{16} * 1024 * 1024);
        CHECK(answers.ends_with("short end"));
    });
}

TEST_CASE("an upload goes on after its server has paused")
{
    EventLoop loop;
    HttpPoolLimits limits;
    limits.silentPeer = SilentPeer::MayPause;
    HttpConnectionPool pool(loop.executor(), limits);
    RawListener listener(loop.executor());
    loop.run([&]() -> asio::awaitable<void> {
        auto opened =
            co_await pool.open(listener.endpoint(), std::chrono::steady_clock::now() + std::chrono::seconds(15));
        REQUIRE(opened);
        bool isSent = false;
        asio::co_spawn(
            loop.executor(),
            [&]() -> asio::awaitable<void> {
                HttpRequestHead head("POST", "/");
                const auto sent =
                    co_await opened.value()->sendRequest(head, std::string(std::size_t{16} * 1024 * 1024, 'u') + "end");
                isSent = sent.has_value();
            },
            asio::detached);
        RawConnection server = co_await listener.accept();
        co_await loop.sleep(Milliseconds(3500));
        const std::string request = co_await server.receiveUntil("uend");
        CHECK(request.ends_with("uend"));
        checkAwaited(co_await loop.waitUntil([&] { return isSent; }));
    });
}

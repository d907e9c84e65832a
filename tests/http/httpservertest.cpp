#include "http/httpserver.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "awaitedcheck.h"
#include "eventloop.h"
#include "rawconnection.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string Get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n";

/// A server that echoes the target and the body of every request, and counts the requests that reach its handler.
struct EchoServer
{
    EchoServer(EventLoop &loop, HttpLimits limits)
        : server(loop.executor(), std::move(limits), [this](HttpExchange &exchange) { return echo(exchange); })
        , endpoint(server.listen(Endpoint("127.0.0.1:0")).value())
    {
    }

    asio::awaitable<void> echo(HttpExchange &exchange)
    {
        ++handled;
        std::string body = exchange.head().target;
        for (;;) {
            auto piece = co_await exchange.readBody();
            if (!piece) {
                failures.push_back(piece.error().reason);
                co_return;
            }
            if (piece.value().empty()) {
                break;
            }
            body += piece.value();
        }
        (void)co_await exchange.respond({}, body);
    }

    int handled = 0;
    std::vector<Reason> failures;
    HttpServer server;
    Endpoint endpoint;
};

std::string answerTo(EventLoop &loop, const EchoServer &echo, std::string request)
{
    std::string answer;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(echo.endpoint);
        co_await caller.send(std::move(request));
        answer = co_await caller.receiveAll();
    });
    return answer;
}

int countOf(const std::string &text, const std::string &part)
{
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

}

TEST_CASE("one connection serves requests in turn, also when they arrive together")
{
    EventLoop loop;
    EchoServer echo(loop, {});
    const std::string last = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nxyz";
    const std::string answer = answerTo(loop, echo, Get + Get + last);
    CHECK(countOf(answer, "HTTP/1.1 200 OK") == 3);
    CHECK(answer.ends_with("/bxyz"));
    CHECK(echo.handled == 3);
    CHECK(echo.server.counts().acceptedConnections == 1);
}

// A page sends three reads at once on one connection. The first one meets a slow upstream; the other two, which are
// ready at once, waited for it as well and were late, because the server began them only after the first answer.
TEST_CASE("requests sent ahead run beside each other, and their answers keep the order")
{
    EventLoop loop;
    int begun = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++begun;
        if (exchange.head().target == "/slow") {
            checkAwaited(co_await loop.until([&] { return begun == 3; }));
            co_await loop.sleep(Milliseconds(20));
        }
        (void)co_await exchange.respond({}, exchange.head().target);
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    std::string answers;
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
                             "GET /c HTTP/1.1\r\nHost: h\r\n\r\n");
        answers = co_await caller.receiveUntil("/c");
    });
    CHECK(begun == 3);
    CHECK(answers.find("/slow") < answers.find("/b"));
    CHECK(answers.find("/b") < answers.find("/c"));
}

// A caller sends two requests ahead and leaves. The first is still at work, so the second hid the end of the
// connection: the upstream worked on for nobody.
TEST_CASE("a caller that leaves is noticed by all requests that it sent ahead")
{
    EventLoop loop;
    int told = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        exchange.onCallerDisconnected([&] { ++told; });
        checkAwaited(co_await loop.until([&] { return told == 2; }));
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get + Get);
        co_await loop.sleep(Milliseconds(20));
        CHECK(told == 0);
        caller.close();
        checkAwaited(co_await loop.until([&] { return server.connectionCount() == 0; }));
    });
    CHECK(told == 2);
}

// An answer that ends its connection makes the caller send again what it sent behind. A payment that had begun behind
// it would run twice.
TEST_CASE("a request that waits for its turn does not begin behind an answer that ends the connection")
{
    EventLoop loop;
    int begun = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/fails") {
            co_await loop.sleep(Milliseconds(20));
            exchange.abort();
            co_return;
        }
        co_await exchange.waitForTurn();
        begun += exchange.callerDisconnected() ? 0 : 1;
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("GET /fails HTTP/1.1\r\nHost: h\r\n\r\nPOST /pay HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 0\r\n\r\n");
        checkAwaited(co_await loop.until([&] { return server.counts().requests == 2; }));
        checkAwaited(co_await loop.until([&] { return server.connectionCount() == 0; }));
    });
    CHECK(begun == 0);
}

// Two programs on the path of a request read its length differently. The caller hides a second request in the first
// one's body; the upstream runs it as another caller's. Such requests must end here.
TEST_CASE("ambiguous requests are answered 400, closed, and never reach the handler")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    const std::vector<std::string> requests{
        start + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding:\r\nContent-Length: 1\r\n\r\nx",
        start + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
        start + "Content-Length: 1, 2\r\n\r\nxy",
        start + "Content-Length: -1\r\n\r\n",
        start + "Content-Length: +1\r\n\r\nx",
        start + "Content-Length: 99999999999999999999\r\n\r\n",
        start + "Content-Length: 0x1\r\n\r\nx",
        start + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        start + "Transfer-Encoding: identity\r\n\r\n",
        start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        start + "Content-Length : 1\r\n\r\nx",
        start + "X-Folded: a\r\n b\r\n\r\n",
        start + "X-Folded:\r\n b\r\n\r\n",
        start + "X-Folded: a\r\n \r\n\r\n",
        start + " X-Space: a\r\n\r\n",
        start + "X-Nul: a" + std::string(1, '\0') + "b\r\n\r\n",
        start + "X-Bare: a\nContent-Length: 3\r\n\r\n",
        start + "X-Return: a\rb\r\n\r\n",
        start + "No-Colon\r\n\r\n",
        start + ": empty\r\n\r\n",
        start + "Host: again\r\n\r\n",
        "GET /a HTTP/1.1\r\n\r\n",
        "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET  /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "G@T /a HTTP/1.1\r\nHost: h\r\n\r\n",
        "GET /a HTTP/9.9\r\nHost: h\r\n\r\n",
        "\x16\x03\x01 not HTTP at all\r\n\r\n",
    };
    for (const std::string &request : requests) {
        INFO(request);
        EventLoop loop;
        EchoServer echo(loop, {});
        const std::string answer = answerTo(loop, echo, request + Get);
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK(countOf(answer, "HTTP/1.1") == 1);
        CHECK(echo.handled == 0);
        CHECK(echo.server.counts().refusedRequests == 1);
    }
}

TEST_CASE("a version other than HTTP/1.1 is refused: its callers can't tell a truncated chunked answer")
{
    EventLoop loop;
    EchoServer echo(loop, {});
    CHECK(answerTo(loop, echo, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 505 "));
    CHECK(echo.handled == 0);
}

TEST_CASE("bad chunking ends the exchange")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body : {"zz\r\nab\r\n", "2\r\nabc\r\n0\r\n\r\n", "-2\r\nab\r\n", "2\nab\r\n",
                                   "FFFFFFFFFFFFFFFFF\r\nab\r\n", "1;\r\na\r\n0\r\n\r\n"}) {
        INFO(body);
        EventLoop loop;
        EchoServer echo(loop, {});
        std::string request = start;
        request += body;
        request += Get;
        const std::string answer = answerTo(loop, echo, request);
        CHECK_FALSE(answer.starts_with("HTTP/1.1 200"));
        CHECK(countOf(answer, "HTTP/1.1") <= 1);
    }
}

TEST_CASE("limits of the listener answer with their own status")
{
    EventLoop loop;
    HttpLimits limits;
    limits.headerBytes = 1000;
    limits.bodyBytes = 10;
    limits.refusalHeaders = {{"X-Refused", "yes"}};
    EchoServer echo(loop, limits);

    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    std::string manyFields = start;
    for (int field = 0; field < 100; ++field) {
        manyFields += "X-Field: 0123456789\r\n";
    }
    CHECK(answerTo(loop, echo, manyFields + "\r\n").starts_with("HTTP/1.1 431 "));
    CHECK(answerTo(loop, echo, start + "X: " + std::string(2000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431 "));
    const std::string tooLarge = answerTo(loop, echo, start + "Content-Length: 11\r\n\r\n01234567890");
    CHECK(tooLarge.starts_with("HTTP/1.1 413 "));
    CHECK(countOf(tooLarge, "X-Refused: yes") == 1);
    CHECK(echo.handled == 0);

    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n";
    CHECK(answerTo(loop, echo, chunked + "6\r\n012345\r\n").starts_with("HTTP/1.1 413 "));
    CHECK(echo.handled == 0);
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(echo.endpoint);
        co_await caller.send(chunked);
        checkAwaited(co_await loop.until([&] { return echo.handled == 1; }));
        co_await caller.send("6\r\n012345\r\n0\r\n\r\n");
        checkAwaited((co_await caller.receiveAll()).starts_with("HTTP/1.1 500 "));
    });
    CHECK(echo.failures == std::vector<Reason>{Reason::TooLarge});
}

TEST_CASE("a head that does not end in time is answered 408")
{
    EventLoop loop;
    HttpLimits limits;
    limits.headerReadTime = Milliseconds(50);
    EchoServer echo(loop, limits);
    CHECK(answerTo(loop, echo, "GET /slow").starts_with("HTTP/1.1 408 "));
    CHECK(echo.handled == 0);
}

TEST_CASE("a head within its limit is taken when it arrives byte by byte together with small chunks")
{
    EventLoop loop;
    HttpLimits limits;
    limits.headerBytes = 200;
    EchoServer echo(loop, limits);
    std::string body;
    for (int chunk = 0; chunk < 300; ++chunk) {
        body += "1\r\nx\r\n";
    }
    const std::string head = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n";
    CHECK(answerTo(loop, echo, head + body + "0\r\n\r\n").ends_with(std::string(300, 'x')));
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(echo.endpoint);
        for (const char byte : head + "0\r\n\r\n") {
            co_await caller.send(std::string(1, byte));
            co_await loop.sleep(Microseconds(50));
        }
        checkAwaited((co_await caller.receiveAll()).starts_with("HTTP/1.1 200 "));
    });
}

TEST_CASE("connections beyond the limit are answered 503, idle ones are closed in time")
{
    EventLoop loop;
    HttpLimits limits;
    limits.connections = 1;
    limits.idleTime = Milliseconds(500);
    EchoServer echo(loop, limits);
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection first(loop.executor());
        co_await first.connect(echo.endpoint);
        checkAwaited(co_await loop.until([&] { return echo.server.connectionCount() == 1; }));
        RawConnection second(loop.executor());
        co_await second.connect(echo.endpoint);
        checkAwaited((co_await second.receiveAll()).starts_with("HTTP/1.1 503 "));
        checkAwaited((co_await first.receiveAll()).empty());
    });
    CHECK(echo.server.counts().refusedConnections == 1);
}

TEST_CASE("a caller that waits for 100-continue is told to go on")
{
    EventLoop loop;
    EchoServer echo(loop, {});
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(echo.endpoint);
        co_await caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\nExpect: 100-continue\r\n\r\n");
        checkAwaited(co_await caller.receiveUntil("\r\n\r\n") == "HTTP/1.1 100 Continue\r\n\r\n");
        co_await caller.send("xy");
        checkAwaited((co_await caller.receiveUntil("/axy")).starts_with("HTTP/1.1 200 "));
    });
}

// An accountant's browser gives up and closes. The upstream goes on working for nobody, and takes a slot from those
// who still wait, unless the closed connection is noticed while the handler works.
TEST_CASE("a caller that leaves while the handler works is noticed")
{
    EventLoop loop;
    bool told = false;
    Reason seen = Reason::None;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        exchange.onCallerDisconnected([&] { told = true; });
        checkAwaited(co_await loop.until([&] { return told; }));
        CHECK(exchange.callerDisconnected());
        const auto sent = co_await exchange.respond({}, "late");
        seen = sent ? Reason::None : sent.error().reason;
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get);
        co_await loop.sleep(Milliseconds(20));
        CHECK_FALSE(told);
        caller.close();
        checkAwaited(co_await loop.until([&] { return seen != Reason::None; }));
        checkAwaited(co_await loop.until([&] { return server.connectionCount() == 0; }));
    });
    CHECK(seen == Reason::Cancelled);
}

TEST_CASE("a handler that fails or returns without a response gives a 500")
{
    EventLoop loop;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/throw") {
            throw std::runtime_error("handler");
        }
        co_return;
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        for (const char *target : {"/throw", "/return"}) {
            RawConnection caller(loop.executor());
            co_await caller.connect(endpoint);
            co_await caller.send(std::string("GET ") + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
            checkAwaited((co_await caller.receiveAll()).starts_with("HTTP/1.1 500 "));
        }
    });
}

TEST_CASE("responses without a body keep the connection in step")
{
    EventLoop loop;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        const bool empty = exchange.head().target == "/empty";
        (void)co_await exchange.respond(HttpResponseHead(empty ? 204 : 200), empty ? "" : "content");
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string head = co_await caller.receiveUntil("\r\n\r\n");
        CHECK(head.find("Content-Length: 7") != std::string::npos);
        co_await caller.send("GET /empty HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string empty = co_await caller.receiveUntil("\r\n\r\n");
        CHECK(empty.starts_with("HTTP/1.1 204 "));
        CHECK(empty.find("Content-Length") == std::string::npos);
        co_await caller.send(Get);
        const std::string whole = co_await caller.receiveUntil("content");
        CHECK(whole.starts_with("HTTP/1.1 200 "));
    });
}

// The handler refuses an upload without reading it. What is left of the upload must neither be taken for the next
// request nor destroy the answer on its way.
TEST_CASE("an answer given before the body was read arrives, and the connection ends")
{
    EventLoop loop;
    int handled = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++handled;
        (void)co_await exchange.respond(HttpResponseHead(503), "refused");
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n");
        co_await caller.send(std::string(1000000 - Get.size(), 'x') + Get);
        const std::string answer = co_await caller.receiveAll();
        CHECK(answer.starts_with("HTTP/1.1 503 "));
        CHECK(answer.find("Connection: close") != std::string::npos);
        CHECK(countOf(answer, "HTTP/1.1") == 1);
    });
    CHECK(handled == 1);
}

TEST_CASE("text from outside can't add header fields to a response")
{
    EventLoop loop;
    bool refused = false;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        HttpResponseHead head;
        head.headers.add("X-Name", "a\r\nX-Injected: b");
        const auto sent = co_await exchange.respond(head, {});
        refused = !sent && sent.error().reason == Reason::BadRequest;
        (void)co_await exchange.respond({}, "clean");
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get);
        const std::string answer = co_await caller.receiveUntil("clean");
        CHECK(answer.find("Injected") == std::string::npos);
    });
    CHECK(refused);
}

// A planned stop during business hours: one caller waits for its answer, another's request is on its way over an idle
// connection. Both must get whole answers, and then the process can end.
TEST_CASE("a graceful stop finishes what is in flight and closes idle connections")
{
    EventLoop loop;
    bool release = false;
    HttpLimits limits;
    limits.closeGrace = std::chrono::seconds(1);
    HttpServer server(loop.executor(), limits, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/wait") {
            co_await loop.until([&] { return release; });
        }
        (void)co_await exchange.respond({}, "whole");
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection busy(loop.executor());
        RawConnection idle(loop.executor());
        RawConnection unused(loop.executor());
        co_await unused.connect(endpoint);
        co_await idle.connect(endpoint);
        co_await idle.send(Get);
        (void)co_await idle.receiveUntil("whole");
        co_await busy.connect(endpoint);
        co_await busy.send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
        checkAwaited(co_await loop.until([&] { return server.counts().requests == 2; }));

        RawConnection inBacklog(loop.executor());
        co_await inBacklog.connect(endpoint);
        server.stopAccepting();
        co_await inBacklog.send(Get);
        checkAwaited((co_await inBacklog.receiveAll()).ends_with("whole"));
        co_await idle.send(Get);
        const std::string onItsWay = co_await idle.receiveAll();
        CHECK(onItsWay.ends_with("whole"));
        CHECK(onItsWay.find("Connection: close") != std::string::npos);
        release = true;
        checkAwaited((co_await busy.receiveAll()).ends_with("whole"));
        checkAwaited((co_await unused.receiveAll()).empty());
        co_await server.drained();
        CHECK(server.connectionCount() == 0);

        RawConnection late(loop.executor());
        bool refused = false;
        try {
            co_await late.connect(endpoint);
        } catch (const boost::system::system_error &) {
            refused = true;
        }
        CHECK(refused);
    });
}

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

/// A server that echoes the target and body of every request and counts the requests that reach its handler.
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

std::string sendAndReceive(EventLoop &loop, const EchoServer &echo, std::string request)
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

int countOccurrences(const std::string &text, const std::string &part)
{
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + part.size())) {
        ++count;
    }
    return count;
}

}

TEST_CASE("one connection serves several requests that arrive together")
{
    EventLoop loop;
    EchoServer echo(loop, {});
    const std::string last = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nConnection: close\r\n\r\nxyz";
    const std::string answer = sendAndReceive(loop, echo, Get + Get + last);
    CHECK(countOccurrences(answer, "HTTP/1.1 200 OK") == 3);
    CHECK(answer.ends_with("/bxyz"));
    CHECK(echo.handled == 3);
    CHECK(echo.server.counts().acceptedConnections == 1);
}

// A page sends three reads at once on one connection, and the upstream of the first is slow. A server that starts the
// other two only after the first answer delays them as well, although their answers are ready at once.
TEST_CASE("pipelined requests run concurrently and their answers keep the order of the requests")
{
    EventLoop loop;
    int started = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        ++started;
        if (exchange.head().target == "/slow") {
            checkAwaited(co_await loop.waitUntil([&] { return started == 3; }));
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
    CHECK(started == 3);
    CHECK(answers.find("/slow") < answers.find("/b"));
    CHECK(answers.find("/b") < answers.find("/c"));
}

// A caller pipelines two requests and disconnects while the first still runs. If the buffered second request hid the
// end of the connection, the upstream would continue work that nobody waits for.
TEST_CASE("all pipelined requests detect that their caller disconnected")
{
    EventLoop loop;
    int disconnects = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        exchange.onCallerDisconnected([&] { ++disconnects; });
        checkAwaited(co_await loop.waitUntil([&] { return disconnects == 2; }));
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get + Get);
        co_await loop.sleep(Milliseconds(20));
        CHECK(disconnects == 0);
        caller.close();
        checkAwaited(co_await loop.waitUntil([&] { return server.connectionCount() == 0; }));
    });
    CHECK(disconnects == 2);
}

// When an answer closes its connection, the caller sends the pipelined requests after it again. A payment among them
// that had already started would run twice.
TEST_CASE("a request that waits for its turn does not start after an answer that closes the connection")
{
    EventLoop loop;
    int started = 0;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/fails") {
            co_await loop.sleep(Milliseconds(20));
            exchange.abort();
            co_return;
        }
        co_await exchange.waitForTurn();
        started += exchange.callerDisconnected() ? 0 : 1;
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send("GET /fails HTTP/1.1\r\nHost: h\r\n\r\nPOST /pay HTTP/1.1\r\nHost: h\r\n"
                             "Content-Length: 0\r\n\r\n");
        checkAwaited(co_await loop.waitUntil([&] { return server.counts().requests == 2; }));
        checkAwaited(co_await loop.waitUntil([&] { return server.connectionCount() == 0; }));
    });
    CHECK(started == 0);
}

// Request smuggling: two programs on the path of a request determine its length differently. A caller hides a second
// request in the body of the first, and the upstream runs it as a request of another caller.
TEST_CASE("ambiguous requests are answered 400, the connection closes, and they never reach the handler")
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
        const std::string answer = sendAndReceive(loop, echo, request + Get);
        CHECK(answer.starts_with("HTTP/1.1 400 "));
        CHECK(countOccurrences(answer, "HTTP/1.1") == 1);
        CHECK(echo.handled == 0);
        CHECK(echo.server.counts().refusedRequests == 1);
    }
}

// Callers of older HTTP versions can't detect that a chunked answer was truncated.
TEST_CASE("a version other than HTTP/1.1 is refused")
{
    EventLoop loop;
    EchoServer echo(loop, {});
    CHECK(sendAndReceive(loop, echo, "GET /a HTTP/1.0\r\nHost: h\r\n\r\n").starts_with("HTTP/1.1 505 "));
    CHECK(echo.handled == 0);
}

TEST_CASE("a request with bad chunking gets at most one answer, which is not 200")
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
        const std::string answer = sendAndReceive(loop, echo, request);
        CHECK_FALSE(answer.starts_with("HTTP/1.1 200"));
        CHECK(countOccurrences(answer, "HTTP/1.1") <= 1);
    }
}

TEST_CASE("each exceeded size limit is answered with its own status")
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
    CHECK(sendAndReceive(loop, echo, manyFields + "\r\n").starts_with("HTTP/1.1 431 "));
    CHECK(sendAndReceive(loop, echo, start + "X: " + std::string(2000, 'x') + "\r\n\r\n").starts_with("HTTP/1.1 431 "));
    const std::string tooLarge = sendAndReceive(loop, echo, start + "Content-Length: 11\r\n\r\n01234567890");
    CHECK(tooLarge.starts_with("HTTP/1.1 413 "));
    CHECK(countOccurrences(tooLarge, "X-Refused: yes") == 1);
    CHECK(echo.handled == 0);

    const std::string chunked = start + "Transfer-Encoding: chunked\r\n\r\n6\r\n012345\r\n";
    CHECK(sendAndReceive(loop, echo, chunked + "6\r\n012345\r\n").starts_with("HTTP/1.1 413 "));
    CHECK(echo.handled == 0);
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(echo.endpoint);
        co_await caller.send(chunked);
        checkAwaited(co_await loop.waitUntil([&] { return echo.handled == 1; }));
        co_await caller.send("6\r\n012345\r\n0\r\n\r\n");
        checkAwaited((co_await caller.receiveAll()).starts_with("HTTP/1.1 500 "));
    });
    CHECK(echo.failures == std::vector<Reason>{Reason::TooLarge});
}

TEST_CASE("a head that is not complete in time is answered 408")
{
    EventLoop loop;
    HttpLimits limits;
    limits.headerReadTime = Milliseconds(50);
    EchoServer echo(loop, limits);
    CHECK(sendAndReceive(loop, echo, "GET /slow").starts_with("HTTP/1.1 408 "));
    CHECK(echo.handled == 0);
}

TEST_CASE("a head within its limit is accepted together with many small chunks, and byte by byte")
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
    CHECK(sendAndReceive(loop, echo, head + body + "0\r\n\r\n").ends_with(std::string(300, 'x')));
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

TEST_CASE("connections beyond the limit are answered 503, and idle connections are closed after the idle time")
{
    EventLoop loop;
    HttpLimits limits;
    limits.connections = 1;
    limits.idleTime = Milliseconds(500);
    EchoServer echo(loop, limits);
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection first(loop.executor());
        co_await first.connect(echo.endpoint);
        checkAwaited(co_await loop.waitUntil([&] { return echo.server.connectionCount() == 1; }));
        RawConnection second(loop.executor());
        co_await second.connect(echo.endpoint);
        checkAwaited((co_await second.receiveAll()).starts_with("HTTP/1.1 503 "));
        checkAwaited((co_await first.receiveAll()).empty());
    });
    CHECK(echo.server.counts().refusedConnections == 1);
}

TEST_CASE("a caller that expects 100-continue gets 100 Continue")
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

// A browser closes its connection before the answer. If the server doesn't detect this while the handler runs, the
// upstream continues work that nobody waits for and occupies a slot that waiting callers need.
TEST_CASE("a caller that disconnects while the handler runs is detected")
{
    EventLoop loop;
    bool isDisconnected = false;
    Reason respondReason = Reason::None;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        exchange.onCallerDisconnected([&] { isDisconnected = true; });
        checkAwaited(co_await loop.waitUntil([&] { return isDisconnected; }));
        CHECK(exchange.callerDisconnected());
        const auto sent = co_await exchange.respond({}, "late");
        respondReason = sent ? Reason::None : sent.error().reason;
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection caller(loop.executor());
        co_await caller.connect(endpoint);
        co_await caller.send(Get);
        co_await loop.sleep(Milliseconds(20));
        CHECK_FALSE(isDisconnected);
        caller.close();
        checkAwaited(co_await loop.waitUntil([&] { return respondReason != Reason::None; }));
        checkAwaited(co_await loop.waitUntil([&] { return server.connectionCount() == 0; }));
    });
    CHECK(respondReason == Reason::Cancelled);
}

TEST_CASE("a handler that throws or returns without a response is answered 500")
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

TEST_CASE("a connection stays usable after responses without a body")
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
        const std::string response = co_await caller.receiveUntil("content");
        CHECK(response.starts_with("HTTP/1.1 200 "));
    });
}

// The handler refuses an upload without reading it. The rest of the upload must not be parsed as the next request, and
// must not cause a reset that destroys the answer on its way.
TEST_CASE("an answer sent before the body was read arrives, and the connection closes")
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
        CHECK(countOccurrences(answer, "HTTP/1.1") == 1);
    });
    CHECK(handled == 1);
}

TEST_CASE("untrusted text can't add header fields to a response")
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

// A planned stop under load: one caller waits for its answer, and the request of another is on its way on an idle
// connection. Both must get complete answers before the process exits.
TEST_CASE("a graceful stop finishes the exchanges in flight and closes idle connections")
{
    EventLoop loop;
    bool release = false;
    HttpLimits limits;
    limits.closeGrace = std::chrono::seconds(1);
    HttpServer server(loop.executor(), limits, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        if (exchange.head().target == "/wait") {
            co_await loop.waitUntil([&] { return release; });
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
        checkAwaited(co_await loop.waitUntil([&] { return server.counts().requests == 2; }));

        RawConnection inBacklog(loop.executor());
        co_await inBacklog.connect(endpoint);
        server.stopAccepting();
        co_await inBacklog.send(Get);
        checkAwaited((co_await inBacklog.receiveAll()).ends_with("whole"));
        co_await idle.send(Get);
        const std::string idleAnswer = co_await idle.receiveAll();
        CHECK(idleAnswer.ends_with("whole"));
        CHECK(idleAnswer.find("Connection: close") != std::string::npos);
        release = true;
        checkAwaited((co_await busy.receiveAll()).ends_with("whole"));
        checkAwaited((co_await unused.receiveAll()).empty());
        co_await server.waitUntilDrained();
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

namespace
{

std::string uploadOf(std::size_t size)
{
    return "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n"
        + std::string(size, 'u');
}

/// Reads the whole body and answers 200.
asio::awaitable<void> readAndRespond(HttpExchange &exchange)
{
    while (true) {
        const Result<std::string> piece = co_await exchange.readBody();
        if (!piece) {
            HttpResponseHead head(413);
            (void)co_await exchange.respond(std::move(head), {});
            co_return;
        }
        if (piece.value().empty()) {
            break;
        }
    }
    (void)co_await exchange.respond({}, {});
}

}

// A config raises the limits while callers keep their connections open.
TEST_CASE("the first request on a kept connection after a change of the limits is read by the new ones")
{
    EventLoop loop;
    HttpLimits limits;
    limits.bodyBytes = 1000;
    limits.headerBytes = 1000;
    HttpServer server(loop.executor(), limits, readAndRespond);
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection upload(loop.executor());
        RawConnection head(loop.executor());
        RawConnection lowered(loop.executor());
        for (RawConnection *connection : {&upload, &head, &lowered}) {
            co_await connection->connect(endpoint);
            co_await connection->send(uploadOf(10));
            checkAwaited((co_await connection->receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 200"));
        }
        limits.bodyBytes = 100'000;
        limits.headerBytes = 100'000;
        server.setLimits(limits);
        co_await upload.send(uploadOf(50'000));
        checkAwaited((co_await upload.receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 200"));
        co_await head.send("GET / HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(90'000, 'l') + "\r\n\r\n");
        checkAwaited((co_await head.receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 200"));
        limits.bodyBytes = 20;
        server.setLimits(limits);
        co_await lowered.send(uploadOf(30));
        checkAwaited((co_await lowered.receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 413"));
    });
}

// Callers use a kept connection again for up to four fifths of the published idle time.
TEST_CASE("a connection that is idle when the idle time is raised stays open for the new time")
{
    EventLoop loop;
    HttpLimits limits;
    limits.idleTime = Milliseconds(100);
    HttpServer server(loop.executor(), limits, readAndRespond);
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    loop.run([&]() -> asio::awaitable<void> {
        RawConnection connection(loop.executor());
        co_await connection.connect(endpoint);
        co_await connection.send(uploadOf(10));
        checkAwaited((co_await connection.receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 200"));
        limits.idleTime = std::chrono::seconds(10);
        server.setLimits(limits);
        co_await loop.sleep(Milliseconds(300));
        co_await connection.send(uploadOf(10));
        checkAwaited((co_await connection.receiveUntil("\r\n\r\n")).starts_with("HTTP/1.1 200"));
    });
}

#include "http/httpconnectionpool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "awaitedcheck.h"
#include "eventloop.h"
#include "http/httpserver.h"
#include "rawconnection.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

TimePoint testDeadline(Duration duration = std::chrono::seconds(10))
{
    return std::chrono::steady_clock::now() + duration;
}

enum class ConnectionEnd { Orderly, Reset };

/// The result of a GET request to a server that sends @p answer and closes the connection.
asio::awaitable<Result<std::string>> getFromRawServer(EventLoop &loop, HttpConnectionPool &pool, std::string answer,
                                                      ConnectionEnd connectionEnd = ConnectionEnd::Orderly,
                                                      Milliseconds timeToReset = Milliseconds(20))
{
    RawListener listener(loop.executor());
    auto opened = co_await pool.open(listener.endpoint(), testDeadline());
    REQUIRE(opened);
    HttpClientCall &call = *opened.value();
    requireAwaited(co_await call.sendRequest({}, {}));
    RawConnection server = co_await listener.accept();
    (void)co_await server.receiveUntil("\r\n\r\n");
    co_await server.send(std::move(answer));
    if (connectionEnd == ConnectionEnd::Reset) {
        co_await loop.sleep(timeToReset);
        server.reset();
    } else {
        server.close();
    }
    auto head = co_await call.readHead();
    if (!head) {
        co_return head.error();
    }
    co_return co_await call.readCompleteBody(Bytes(1000));
}

std::optional<Failure> getFailure(const std::string &answer)
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    std::optional<Failure> failure;
    loop.run([&]() -> asio::awaitable<void> {
        auto result = co_await getFromRawServer(loop, pool, answer);
        if (!result) {
            failure = result.error();
        }
    });
    return failure;
}

HttpServer::Handler respondWith(std::string body)
{
    return [body](HttpExchange &exchange) -> asio::awaitable<void> { (void)co_await exchange.respond({}, body); };
}

asio::awaitable<std::string> get(HttpConnectionPool &pool, Endpoint endpoint)
{
    auto opened = co_await pool.open(endpoint, testDeadline());
    REQUIRE(opened);
    requireAwaited(co_await opened.value()->sendRequest({}, {}));
    requireAwaited(co_await opened.value()->readHead());
    auto body = co_await opened.value()->readCompleteBody(Bytes(1000));
    REQUIRE(body);
    co_return body.value();
}

}

// A server fails while it answers, so its response is truncated or malformed. The client must not treat the response as
// complete. Since the request was sent, it may have run.
TEST_CASE("a truncated or malformed response fails with BadAnswer and MayHaveRun")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string &answer : {
             ok + "Content-Length: 10\r\n\r\n12345",
             ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
             ok + "Transfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n0\r\n",
             ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
             ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\n12",
             ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             ok + "Transfer-Encoding: gzip\r\n\r\n12",
             std::string("HTTP/1.1 101 Switching Protocols\r\n\r\n"),
             std::string("nonsense\r\n\r\n"),
         }) {
        INFO(answer);
        const auto failure = getFailure(answer);
        REQUIRE(failure);
        CHECK(failure->verdict == Verdict::MayHaveRun);
        CHECK(failure->reason == Reason::BadAnswer);
    }
}

TEST_CASE("an answer whose status is none, or with a field that can't be one, fails with BadAnswer")
{
    const auto answerWith = [](const std::string &status, const std::string &field) {
        std::string answer = "HTTP/1.1 ";
        answer.append(status).append("\r\n").append(field).append("Content-Length: 2\r\n\r\nok");
        return answer;
    };
    std::vector<std::string> answers;
    for (const char *status : {"000 Odd", "099 Odd", "600 Odd", "999 Odd"}) {
        answers.push_back(answerWith(status, ""));
    }
    constexpr std::size_t FieldWithNulBytes = 10;
    for (const std::string &field :
         {std::string("X Odd: 1\r\n"), std::string("X\tOdd: 1\r\n"), std::string("X\x01Odd: 1\r\n"),
          std::string("X\x7fOdd: 1\r\n"), std::string("X\0Odd: 1\r\n", FieldWithNulBytes),
          std::string("X\xe4Odd: 1\r\n"), std::string("X-Odd : 1\r\n"), std::string(": 1\r\n"),
          std::string("X-Odd\r\n"), std::string("X-Odd: a\x01z\r\n")}) {
        answers.push_back(answerWith("200 OK", field));
    }
    for (const std::string &answer : answers) {
        INFO(answer);
        const auto failure = getFailure(answer);
        REQUIRE(failure);
        CHECK(failure->verdict == Verdict::MayHaveRun);
        CHECK(failure->reason == Reason::BadAnswer);
    }
}

TEST_CASE("what follows a head whose status is none is never read as an answer")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    RawListener listener(loop.executor());
    loop.run([&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE(opened);
        requireAwaited(co_await opened.value()->sendRequest({}, {}));
        RawConnection server = co_await listener.accept();
        co_await server.send("HTTP/1.1 000 Odd\r\nContent-Length: 45\r\n\r\n");
        auto head = co_await opened.value()->readHead();
        REQUIRE_FALSE(head);
        co_await server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfalse");
        head = co_await opened.value()->readHead();
        CHECK_FALSE(head);
    });
}

// The system reports a reset once, and the write that is under way takes it.
TEST_CASE("an answer without a length is not complete when the connection is reset during the upload")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    RawListener listener(loop.executor());
    loop.run([&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE(opened);
        HttpClientCall &call = *opened.value();
        bool isWritten = false;
        asio::co_spawn(
            loop.executor(),
            [&]() -> asio::awaitable<void> {
                HttpRequestHead head("POST", "/");
                (void)co_await call.sendRequest(head, std::string(std::size_t{25} * 1024 * 1024, 'x'));
                isWritten = true;
            },
            asio::detached);
        RawConnection server = co_await listener.accept();
        co_await server.send("HTTP/1.1 200 OK\r\n\r\npart of answer");
        asio::co_spawn(
            loop.executor(),
            [&]() -> asio::awaitable<void> {
                co_await loop.sleep(Milliseconds(60));
                server.reset();
            },
            asio::detached);
        auto head = co_await call.readHead();
        REQUIRE(head);
        const auto body = co_await call.readCompleteBody(Bytes(1000));
        REQUIRE_FALSE(body);
        CHECK(body.error().reason == Reason::BadAnswer);
        checkAwaited(co_await loop.waitUntil([&] { return isWritten; }));
    });
}

// An upstream sends its answer without a length and marks the end by closing the connection. If it crashes midway, the
// connection is reset instead, and the caller must not treat the partial answer as complete.
TEST_CASE("an answer without a length is complete after an orderly close and fails after a reset")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        const std::string answer = "HTTP/1.1 200 OK\r\n\r\nuntil the end";
        auto complete = co_await getFromRawServer(loop, pool, answer);
        REQUIRE(complete);
        CHECK(complete.value() == "until the end");
        auto broken = co_await getFromRawServer(loop, pool, answer, ConnectionEnd::Reset);
        REQUIRE(!broken);
        CHECK(broken.error().verdict == Verdict::MayHaveRun);
    });
    CHECK(pool.idleCount() == 0);
}

TEST_CASE("a connection that closes before the response head fails with ConnectionLost and MayHaveRun")
{
    for (const std::string &answer :
         {std::string(), std::string("HTTP/1.1 200"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n")}) {
        INFO(answer);
        const auto failure = getFailure(answer);
        REQUIRE(failure);
        CHECK(failure->verdict == Verdict::MayHaveRun);
        CHECK(failure->reason == Reason::ConnectionLost);
    }
}

TEST_CASE("complete responses are read and informational responses are skipped")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        const std::string informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
        auto complete =
            co_await getFromRawServer(loop, pool, informational + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n12345");
        REQUIRE(complete);
        CHECK(complete.value() == "12345");
        complete = co_await getFromRawServer(
            loop, pool,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n12\r\n3\r\n345\r\n0\r\nT: t\r\n\r\n");
        REQUIRE(complete);
        CHECK(complete.value() == "12345");
        complete = co_await getFromRawServer(loop, pool, "HTTP/1.1 204 No Content\r\n\r\n");
        REQUIRE(complete);
        CHECK(complete.value().empty());
    });
}

TEST_CASE("a changed connection limit applies to the next call")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), HttpPoolLimits());
    loop.run([&]() -> asio::awaitable<void> {
        RawListener listener(loop.executor());
        auto first = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE(first);
        pool.setMaxConnections(1);
        auto second = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE_FALSE(second);
        CHECK(second.error().reason == Reason::BudgetSpent);
        pool.setMaxConnections(2);
        auto third = co_await pool.open(listener.endpoint(), testDeadline());
        CHECK(third);
    });
}

TEST_CASE("a call that fails before its first byte has the verdict NotRun")
{
    EventLoop loop;
    HttpPoolLimits limits;
    limits.connectionsPerEndpoint = 1;
    HttpConnectionPool pool(loop.executor(), limits);
    loop.run([&]() -> asio::awaitable<void> {
        Endpoint closedEndpoint;
        {
            RawListener listener(loop.executor());
            closedEndpoint = listener.endpoint();
        }
        auto refused = co_await pool.open(closedEndpoint, testDeadline());
        REQUIRE_FALSE(refused);
        CHECK(refused.error().verdict == Verdict::NotRun);
        CHECK(refused.error().reason == Reason::ConnectFailed);

        RawListener listener(loop.executor());
        auto opened = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE(opened);
        auto overLimit = co_await pool.open(listener.endpoint(), testDeadline());
        REQUIRE_FALSE(overLimit);
        CHECK(overLimit.error().verdict == Verdict::NotRun);
        CHECK(overLimit.error().reason == Reason::BudgetSpent);

        HttpRequestHead injected;
        injected.target = "/a HTTP/1.1\r\nX-Injected: b";
        const auto sent = opened.value()->sendHead(injected);
        REQUIRE_FALSE(sent);
        CHECK(sent.error().verdict == Verdict::NotRun);

        opened.value()->cancel();
        const auto cancelled = co_await opened.value()->sendRequest({}, {});
        REQUIRE_FALSE(cancelled);
        CHECK(cancelled.error().verdict == Verdict::NotRun);
        CHECK(cancelled.error().reason == Reason::Cancelled);
    });
}

TEST_CASE("a call to a server that sends no response fails with DeadlinePassed and MayHaveRun")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        RawListener listener(loop.executor());
        auto opened = co_await pool.open(listener.endpoint(), testDeadline(Milliseconds(200)));
        REQUIRE(opened);
        requireAwaited(co_await opened.value()->sendRequest({}, {}));
        auto head = co_await opened.value()->readHead();
        REQUIRE_FALSE(head);
        CHECK(head.error().verdict == Verdict::MayHaveRun);
        CHECK(head.error().reason == Reason::DeadlinePassed);
    });
}

// A process that reads the platform's store is stalled until after the deadline of its call, and gets to run only now
// and then after that. Guards against a reader that takes its own lack of processor time for a silent store, since one
// more stall follows the first.
TEST_CASE("a call that follows its answer reads it after several stalls of its own process")
{
    constexpr Milliseconds Timeout{200};
    const int lateness = GENERATE(0, 20, 90, 130, 600);
    const int stall = GENERATE(15, 40, 110);
    const int turnsBeforeAnswer = GENERATE(1, 3, 5);
    CAPTURE(lateness, stall, turnsBeforeAnswer);
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    const auto answerLate = [&](RawConnection &server) -> asio::awaitable<void> {
        (void)co_await server.receiveUntil("\r\n\r\n");
        std::this_thread::sleep_for(Timeout + Milliseconds(lateness));
        for (int turn = 0; turn < turnsBeforeAnswer; ++turn) {
            co_await loop.sleep(Milliseconds(1));
            std::this_thread::sleep_for(Milliseconds(stall));
        }
        co_await server.send("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
    };
    loop.run([&]() -> asio::awaitable<void> {
        RawListener listener(loop.executor());
        auto opened = co_await pool.open(listener.endpoint(), testDeadline(Timeout));
        REQUIRE(opened);
        HttpClientCall &call = *opened.value();
        call.waitWhileBytesArrive(Timeout);
        requireAwaited(co_await call.sendRequest({}, {}));
        RawConnection server = co_await listener.accept();
        asio::co_spawn(loop.executor(), answerLate(server), asio::detached);
        requireAwaited(co_await call.readHead());
        const auto body = co_await call.readCompleteBody(Bytes(1000));
        REQUIRE(body);
        CHECK(body.value() == "ok");
    });
}

// The process is paused after it connected, until after the call's deadline. The caller got the verdict NotRun. When
// the process resumes, the write runs before the overdue timer fires, and must not send the request.
TEST_CASE("no first byte is sent after the deadline, even before the timer fires")
{
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        RawListener listener(loop.executor());
        auto opened = co_await pool.open(listener.endpoint(), testDeadline(Milliseconds(200)));
        REQUIRE(opened);
        std::this_thread::sleep_for(Milliseconds(210));
        const auto sent = co_await opened.value()->sendRequest({}, {});
        REQUIRE_FALSE(sent);
        CHECK(sent.error().verdict == Verdict::NotRun);
        CHECK(sent.error().reason == Reason::DeadlinePassed);
        RawConnection server = co_await listener.accept();
        checkAwaited((co_await server.receiveAll()).empty());
    });
}

// The server closes an idle connection while it is in the pool. A request sent on it would be lost and would have to be
// reported as MayHaveRun, although the server is healthy.
TEST_CASE("a pooled connection that the server closed is detected before it is reused")
{
    EventLoop loop;
    HttpLimits limits;
    limits.idleTime = Milliseconds(300);
    HttpServer server(loop.executor(), limits, respondWith("again"));
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        checkAwaited(co_await get(pool, endpoint) == "again");
        checkAwaited(co_await get(pool, endpoint) == "again");
        CHECK(pool.counts().opened == 1);
        checkAwaited(co_await loop.waitUntil([&] { return server.connectionCount() == 0; }));
        checkAwaited(co_await get(pool, endpoint) == "again");
        CHECK(pool.counts().closedByServer == 1);
        CHECK(pool.counts().opened == 2);
    });
}

TEST_CASE("a call can demand a fresh connection, and idle connections are closed at the limit and after the idle time")
{
    EventLoop loop;
    HttpServer server(loop.executor(), {}, respondWith("x"));
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    const Endpoint other = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpPoolLimits limits;
    limits.connections = 1;
    limits.idleTime = Milliseconds(300);
    HttpConnectionPool pool(loop.executor(), limits);
    loop.run([&]() -> asio::awaitable<void> {
        checkAwaited(co_await get(pool, endpoint) == "x");
        {
            auto fresh = co_await pool.open(endpoint, testDeadline(), HttpConnectionChoice::Fresh);
            REQUIRE(fresh);
            CHECK_FALSE(fresh.value()->isConnectionReused());
        }
        checkAwaited(co_await get(pool, other) == "x");
        CHECK(pool.connectionCount(endpoint) == 0);
        CHECK(pool.idleCount() == 1);
        checkAwaited(co_await loop.waitUntil([&] { return pool.connectionCount() == 0; }));
    });
}

// A server refuses an upload at once and closes its side while the caller is still writing. The caller must get the
// refusal instead of a write error.
TEST_CASE("an early refusal is read although the upload could not be finished")
{
    EventLoop loop;
    HttpLimits limits;
    limits.bodyBytes = 1000;
    HttpServer server(loop.executor(), limits, respondWith("never"));
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        auto opened = co_await pool.open(endpoint, testDeadline());
        REQUIRE(opened);
        HttpRequestHead head;
        head.method = "POST";
        (void)co_await opened.value()->sendRequest(head, std::string(std::size_t{8} * 1024 * 1024, 'x'));
        const auto response = co_await opened.value()->readHead();
        REQUIRE(response);
        CHECK(response.value().status == 413);
    });
}

// Two calls of one caller share a connection, and the first abandons its answer half way. If the rest of that answer
// stayed on the connection, the second call would get it as its own answer.
TEST_CASE("an abandoned answer is never returned as the answer to the next request")
{
    EventLoop loop;
    HttpServer server(loop.executor(), {}, [&](HttpExchange &exchange) -> asio::awaitable<void> {
        const std::string target = exchange.head().target;
        (void)co_await exchange.respond({}, std::string(50000, 'x') + target);
    });
    const Endpoint endpoint = server.listen(Endpoint("127.0.0.1:0")).value();
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        for (int turn = 0; turn < 20; ++turn) {
            auto opened = co_await pool.open(endpoint, testDeadline());
            REQUIRE(opened);
            HttpRequestHead head;
            head.target = "/" + std::to_string(turn);
            requireAwaited(co_await opened.value()->sendRequest(head, {}));
            requireAwaited(co_await opened.value()->readHead());
            if (turn % 2 == 0) {
                (void)co_await opened.value()->readBody();
                continue;
            }
            const auto body = co_await opened.value()->readCompleteBody(Bytes(100000));
            REQUIRE(body);
            CHECK(body.value().ends_with("x" + head.target));
        }
    });
}

// Guards against a server that sends bytes without end on a connection that nobody reads: they fill the socket's
// memory.
TEST_CASE("an idle connection on which bytes arrive is closed at once")
{
    const Milliseconds pause = GENERATE(Milliseconds(0), Milliseconds(5), Milliseconds(60));
    EventLoop loop;
    HttpConnectionPool pool(loop.executor(), {});
    loop.run([&]() -> asio::awaitable<void> {
        RawListener listener(loop.executor());
        std::optional<RawConnection> server;
        {
            auto opened = co_await pool.open(listener.endpoint(), testDeadline());
            REQUIRE(opened);
            requireAwaited(co_await opened.value()->sendRequest({}, {}));
            server.emplace(co_await listener.accept());
            (void)co_await server->receiveUntil("\r\n\r\n");
            co_await server->send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            requireAwaited(co_await opened.value()->readHead());
            auto body = co_await opened.value()->readCompleteBody(Bytes(1000));
            REQUIRE(body);
        }
        CHECK(pool.idleCount() == 1);
        co_await loop.sleep(pause);
        co_await server->send("more");
        checkAwaited(co_await loop.waitUntil([&] { return pool.connectionCount() == 0; }));
        CHECK(pool.counts().closedByServer == 1);
    });
}

TEST_CASE("informational heads without end are no answer")
{
    std::string answer;
    for (int number = 0; number < 100; ++number) {
        answer += "HTTP/1.1 100 Continue\r\n\r\n";
    }
    const auto failure = getFailure(answer + "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(failure);
    CHECK(failure->verdict == Verdict::MayHaveRun);
    CHECK(failure->reason == Reason::BadAnswer);
}

namespace
{

/// A complete answer, and the number of its bytes from which on a client may take it for complete.
struct WholeAnswer
{
    std::string text;
    std::size_t completeFrom;
};

/// Answers with all framings, each also behind an informational head.
std::vector<WholeAnswer> wholeAnswers()
{
    const std::string status = "HTTP/1.1 200 OK\r\nX-Egretpath-Server-Signature: 3e1b\r\n";
    const std::string withLength = status + "Content-Length: 4\r\n\r\nbody";
    const std::string chunked = status + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Trailer: 1\r\n\r\n";
    const std::string empty = status + "Content-Length: 0\r\n\r\n";
    const std::string withoutLength = status + "\r\n";
    std::vector<WholeAnswer> answers{{withLength, withLength.size()},
                                     {chunked, chunked.size()},
                                     {empty, empty.size()},
                                     // Its body is complete whenever the connection is closed in order.
                                     {withoutLength + "body", withoutLength.size()}};
    const std::string informational = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    const std::size_t plainCount = answers.size();
    for (std::size_t number = 0; number < plainCount; ++number) {
        const WholeAnswer &answer = answers[number];
        answers.push_back({informational + answer.text, informational.size() + answer.completeFrom});
    }
    return answers;
}

}

// Guards against an upstream that stops in the middle of its answer's head, and a caller who gets a short success.
TEST_CASE("an answer that is cut at any byte is no complete answer")
{
    const ConnectionEnd connectionEnd = GENERATE(ConnectionEnd::Orderly, ConnectionEnd::Reset);
    for (const WholeAnswer &answer : wholeAnswers()) {
        for (std::size_t size = 0; size < answer.text.size(); ++size) {
            const bool isComplete = connectionEnd == ConnectionEnd::Orderly && size >= answer.completeFrom;
            EventLoop loop;
            HttpConnectionPool pool(loop.executor(), {});
            loop.run([&]() -> asio::awaitable<void> {
                auto result =
                    co_await getFromRawServer(loop, pool, answer.text.substr(0, size), connectionEnd, Milliseconds(1));
                INFO("cut after " << size << " bytes of " << answer.text);
                CHECK(result.has_value() == isComplete);
                CHECK((result.has_value() || result.error().verdict == Verdict::MayHaveRun));
            });
        }
    }
}

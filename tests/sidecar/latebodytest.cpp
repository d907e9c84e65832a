#include <string>

#include <catch2/catch.hpp>

#include "../http/rawconnection.h"
#include "endlessupstream.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// A node whose upstream answers at once.
struct BodyDeployment : SidecarFixture
{
    BodyDeployment()
        : upstream(addEndlessUpstream("i-quick", {}))
        , node(addNode(upstream, "statements"))
    {
        catalog.moreRoutes = R"({"name":"body","kind":"upload","target_latency":"100ms","priority":2,)"
                             R"("match":{"prefix":"/body/"},"action":{"service":"statements",)"
                             R"("timeout":"600ms","max_attempts":2}},)";
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    EndlessUpstream &upstream;
    TestNode &node;
};

std::string headWith(const std::string &framing)
{
    return "POST /body/1 HTTP/1.1\r\nHost: h\r\nX-Egretpath-Attempt-Id: late\r\nX-Egretpath-Deadline-Ms: 5000\r\n"
        + framing + "\r\n\r\n";
}

}

TEST_CASE("a body that is not whole at its request's deadline is answered 408, and nothing runs")
{
    BodyDeployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        RawConnection caller(co_await asio::this_coro::executor);
        co_await caller.connect(deployment.node.callers);
        co_await caller.send(headWith("Content-Length: 100"));
        // A byte now and then doesn't put it off.
        for (int bytes = 0; bytes < 8; ++bytes) {
            co_await caller.send("b");
            co_await deployment.sleep(Milliseconds(50));
        }
        const std::string answer = co_await caller.receiveAll();
        CHECK(answer.starts_with("HTTP/1.1 408"));
        CHECK(answer.find("X-Egretpath-Attempt-Id: late") != std::string::npos);
        CHECK(deployment.upstream.totalRuns() == 0);
    });
}

TEST_CASE("a chunked body is answered 413 as soon as its chunks are known to be over the limit")
{
    BodyDeployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        RawConnection caller(co_await asio::this_coro::executor);
        co_await caller.connect(deployment.node.callers);
        // The chunk is announced and not sent.
        co_await caller.send(headWith("Transfer-Encoding: chunked") + "3b9aca00\r\nfirst bytes");
        const std::string answer = co_await caller.receiveUntil("\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 413"));
        CHECK(deployment.upstream.totalRuns() == 0);
    });
}

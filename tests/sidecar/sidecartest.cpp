#include <catch2/catch.hpp>

#include <set>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "deployment.h"

using namespace Egretpath;
namespace asio = boost::asio;

TEST_CASE("a request goes from its caller over two nodes to an upstream, and the answer comes back unchanged")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        for (int count = 0; count < 20; ++count) {
            const std::string id = "r" + std::to_string(count);
            const Reply reply = co_await deployment.send(deployment.first.callers, "POST", "/pay/7?x=1", id,
                                                         Milliseconds(700), "amount=5");
            CHECK(reply.status == 200);
            CHECK(reply.body.ends_with(":POST:/pay/7?x=1:amount=5"));
            CHECK(reply.headers.find("X-Egretpath-Server-Signature") == std::string_view("3e1b." + id));
            CHECK(deployment.runs(id) == 1);
        }
    });
    const FakeUpstream &used = deployment.one.totalRuns() > 0 ? deployment.one : deployment.two;
    CHECK(used.lastField("X-Egretpath-Caller-Service") == "statements");
    CHECK(used.lastField("X-Egretpath-Target-Instance") == used.id());
    CHECK(std::stoi(used.lastField("X-Egretpath-Deadline-Ms")) <= 700);
    CHECK(std::stoi(used.lastField("X-Egretpath-Deadline-Ms")) > 500);
}

// Guards against an upload that ends its node: it is sent to another node only when that has said that it would take
// it.
TEST_CASE("uploads go to another node that said it would take them")
{
    constexpr int Uploads = 6;
    constexpr std::size_t LargeBody = std::size_t{40} * 1024;
    Deployment deployment;
    // So that there is a choice between upstreams, and the node may decline.
    deployment.one.slowdown = 400;
    deployment.run([&]() -> asio::awaitable<void> {
        const std::string body(LargeBody, 'b');
        for (int number = 0; number < Uploads; ++number) {
            const std::string id = "upload-" + std::to_string(number);
            const Reply reply =
                co_await deployment.send(deployment.first.callers, "POST", "/pay/1", id, Milliseconds(700), body);
            CHECK(reply.status == 200);
            CHECK(reply.body.ends_with(body));
            CHECK(deployment.runs(id) == 1);
        }
    });
    CHECK(deployment.two.totalRuns() > 0);
}

TEST_CASE("paths without a route are 404, and nothing is refused that a route takes")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/none/1", "a"), 404);
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/read/1", "b"), 200);
    });
}

// A node starts while the platform's store is away. It answered 404 to every request, and callers took their routes for
// gone and did not come back.
TEST_CASE("a node without routes is not ready, and says that nothing ran")
{
    SidecarFixture fixture;
    FakeUpstream &upstream = fixture.addUpstream("i-1");
    FakeNode &node = fixture.addNode(upstream, "statements");
    fixture.run([&]() -> asio::awaitable<void> {
        checkReadiness(co_await fixture.readiness(node.ready), 503);
        const Reply reply = co_await fixture.send(node.callers, "GET", "/read/1", "a");
        CHECK(reply.status == 503);
        CHECK(reply.headers.contains("Retry-After"));
        fixture.catalog.publishRoutes(3);
        checkReadiness(co_await fixture.readiness(node.ready), 503);
        fixture.catalog.publishList();
        checkReadiness(co_await fixture.readiness(node.ready), 200);
        checkStatus(co_await fixture.send(node.callers, "GET", "/read/1", "b"), 200);
    });
}

// Guards against callers that were turned away together while a fleet starts, and come back at the same moment.
TEST_CASE("callers of a node without routes are told to come back at different times")
{
    constexpr int Callers = 8;
    SidecarFixture fixture;
    FakeNode &node = fixture.addNode(fixture.addUpstream("i-1"), "statements");
    fixture.run([&]() -> asio::awaitable<void> {
        std::set<std::string> times;
        for (int number = 0; number < Callers; ++number) {
            const Reply reply = co_await fixture.send(node.callers, "GET", "/read/1", "c" + std::to_string(number));
            CHECK(reply.status == 503);
            times.insert(std::string(reply.headers.find("Retry-After").value_or("none")));
        }
        CHECK(times.size() > 2);
    });
}

// An upstream runs a payment and its connection breaks before the answer. The node sent the payment to the next
// upstream, and the household was charged twice.
TEST_CASE("a payment that may have run is not sent again, and its caller is not told that it did not run")
{
    Deployment deployment;
    deployment.one.breaks = true;
    deployment.two.breaks = true;
    deployment.run([&]() -> asio::awaitable<void> {
        const Reply reply = co_await deployment.send(deployment.first.callers, "POST", "/pay/1", "p");
        CHECK(reply.status == 502);
        CHECK_FALSE(reply.headers.contains("Retry-After"));
    });
    CHECK(deployment.runs("p") == 1);
}

TEST_CASE("a read that failed on the way is repeated at another upstream")
{
    Deployment deployment;
    deployment.one.breaks = true;
    deployment.run([&]() -> asio::awaitable<void> {
        int served = 0;
        for (int count = 0; count < 10; ++count) {
            const Reply reply =
                co_await deployment.send(deployment.first.callers, "GET", "/read/1", "r" + std::to_string(count));
            served += reply.status == 200 ? 1 : 0;
        }
        CHECK(served >= 9);
    });
}

TEST_CASE("what an upstream refused before it ran goes to another one, payments as well")
{
    Deployment deployment;
    deployment.one.status = 503;
    deployment.run([&]() -> asio::awaitable<void> {
        for (int count = 0; count < 8; ++count) {
            const std::string id = "p" + std::to_string(count);
            const Reply reply = co_await deployment.send(deployment.first.callers, "POST", "/pay/1", id);
            // The shared budget of repeats may be used up; then the refusal is a true one.
            CHECK((reply.status == 200 || reply.status == 503));
            CHECK(deployment.runs(id) == (reply.status == 200 ? 1 : 0));
        }
    });
    CHECK(deployment.two.totalRuns() >= 6);
}

// Something else answers at the upstream's address, or a proxy in between: its success is not the upstream's.
TEST_CASE("a success that is not the upstream's own does not reach a caller as one")
{
    Deployment deployment;
    deployment.one.unsigned_ = true;
    deployment.two.unsigned_ = true;
    deployment.run([&]() -> asio::awaitable<void> {
        checkStatus(co_await deployment.send(deployment.first.callers, "POST", "/pay/1", "p"), 502);
    });
}

// The VM beside the caller is four times slower for the moment. Its node knows, and passes reads on to the next one.
TEST_CASE("a slow VM's node declines while another upstream is quicker")
{
    Deployment deployment;
    deployment.one.slowdown = 400;
    deployment.one.work = Milliseconds(80);
    deployment.two.work = Milliseconds(20);
    deployment.run([&]() -> asio::awaitable<void> {
        for (int count = 0; count < 12; ++count) {
            const Reply reply =
                co_await deployment.send(deployment.first.callers, "GET", "/read/1", "r" + std::to_string(count));
            CHECK(reply.status == 200);
        }
    });
    CHECK(deployment.two.totalRuns() >= 10);
}

// A caller leaves after 50 ms. The upstream worked on for nobody, and its slot was missing to those who still waited.
TEST_CASE("a caller that leaves ends the work for it, also behind another node")
{
    Deployment deployment;
    deployment.one.work = Milliseconds(600);
    deployment.two.work = Milliseconds(600);
    deployment.run([&]() -> asio::awaitable<void> {
        HttpConnectionPool pool(co_await asio::this_coro::executor, HttpPoolLimits());
        for (int count = 0; count < 4; ++count) {
            auto opened =
                co_await pool.open(deployment.first.callers, std::chrono::steady_clock::now() + std::chrono::seconds(2),
                                   HttpConnectionChoice::Fresh);
            REQUIRE(opened);
            HttpRequestHead head("GET", "/read/1");
            head.headers.add("Host", "h");
            head.headers.add("X-Egretpath-Attempt-Id", "gone" + std::to_string(count));
            (void)co_await opened.value()->sendRequest(std::move(head), "");
            co_await deployment.sleep(Milliseconds(50));
            opened.value()->cancel();
        }
        checkHappened(
            co_await deployment.until([&] { return deployment.one.cancelled() + deployment.two.cancelled() == 4; }));
    });
}

TEST_CASE("a request that lasts longer than its route allows gets an answer in time")
{
    Deployment deployment;
    deployment.one.work = Milliseconds(3000);
    deployment.two.work = Milliseconds(3000);
    deployment.run([&]() -> asio::awaitable<void> {
        const TimePoint begun = std::chrono::steady_clock::now();
        const Reply reply =
            co_await deployment.send(deployment.first.callers, "POST", "/pay/1", "p", Milliseconds(2500));
        const auto took = std::chrono::steady_clock::now() - begun;
        CHECK(reply.status == 504);
        CHECK(took >= Milliseconds(750));
        CHECK(took < Milliseconds(1100));
    });
}

TEST_CASE("an upstream that is gone from the list gets nothing more")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.remove("i-1");
        for (int count = 0; count < 6; ++count) {
            const Reply reply =
                co_await deployment.send(deployment.first.callers, "GET", "/read/1", "r" + std::to_string(count));
            CHECK(reply.status == 200);
        }
    });
    CHECK(deployment.one.totalRuns() == 0);
}

// A planned stop cut the requests that were under way, and those that came before the platform had noticed.
TEST_CASE("a node that stops is not ready at once, finishes what it has and serves on for a while")
{
    Deployment deployment;
    deployment.one.work = Milliseconds(150);
    deployment.two.work = Milliseconds(150);
    deployment.run([&]() -> asio::awaitable<void> {
        int answered = 0;
        int asked = 0;
        const auto ask = [&]() -> asio::awaitable<void> {
            const std::string id = "r" + std::to_string(asked);
            const Reply reply = co_await deployment.send(deployment.first.callers, "POST", "/pay/1", id);
            answered += reply.status == 200 || reply.status == 503 ? 1 : 0;
        };
        const auto executor = co_await asio::this_coro::executor;
        ++asked;
        asio::co_spawn(executor, ask, asio::detached);
        co_await deployment.sleep(Milliseconds(30));
        deployment.first.sidecar->stop();
        checkReadiness(co_await deployment.readiness(deployment.first.ready), 503);
        for (int count = 0; count < 5; ++count) {
            ++asked;
            asio::co_spawn(executor, ask, asio::detached);
            co_await deployment.sleep(Milliseconds(40));
        }
        checkHappened(co_await deployment.until([&] { return answered == asked; }));
    });
}

// Two reports come while their node stops. Both were passed on; one took longer than the grace time had left, and its
// caller's connection broke though the upstream had answered.
TEST_CASE("a node that stops refuses what may outlast it and answers the rest")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.first.sidecar->stop();
        // The route's timeout of 800 ms reaches beyond the grace time of 1,200 from here on.
        co_await deployment.sleep(Milliseconds(300));
        const Reply quick =
            co_await deployment.send(deployment.first.callers, "GET", "/read/1", "r1", Milliseconds(400));
        CHECK(quick.status == 200);
        const Reply outlasting =
            co_await deployment.send(deployment.first.callers, "POST", "/pay/1", "r2", Milliseconds(8000));
        CHECK(outlasting.status == 503);
        CHECK(outlasting.headers.contains("Retry-After"));
        CHECK(deployment.one.runs("r2") + deployment.two.runs("r2") == 0);
    });
}

// Guards against requests that wait beside an upstream while it leaves, and reach it long after it said so.
TEST_CASE("requests that wait beside an upstream that leaves go to another one")
{
    constexpr int TakenAtOnce = 4;
    constexpr int Waiting = 2;
    Deployment deployment;
    deployment.one.work = Milliseconds(200);
    deployment.catalog.remove("i-2");
    deployment.run([&]() -> asio::awaitable<void> {
        int answered = 0;
        for (int number = 0; number < TakenAtOnce + Waiting; ++number) {
            asio::co_spawn(
                co_await asio::this_coro::executor,
                [&deployment, &answered, number]() -> asio::awaitable<void> {
                    const Reply reply = co_await deployment.send(deployment.second.callers, "POST", "/pay/1",
                                                                 "wait-" + std::to_string(number));
                    answered += reply.status == 200 ? 1 : 0;
                },
                asio::detached);
        }
        checkHappened(co_await deployment.until([&] { return deployment.one.totalRuns() == TakenAtOnce; }));
        // The others arrive behind them.
        co_await deployment.sleep(Milliseconds(20));
        deployment.catalog.add(deployment.two, deployment.second.peers, "statements");
        deployment.catalog.publishList();
        deployment.catalog.drain("i-1");
        checkHappened(co_await deployment.until([&] { return answered == TakenAtOnce + Waiting; }));
        CHECK(deployment.one.totalRuns() == TakenAtOnce);
        CHECK(deployment.two.totalRuns() == Waiting);
    });
}

// Guards against an upstream that leaves and gets requests by an old list, though the node beside it knows better.
TEST_CASE("a node whose list is old sends nothing to an upstream that leaves")
{
    constexpr int Requests = 20;
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        const bool firstReads = deployment.catalog.reads(0);
        const FakeNode &reader = firstReads ? deployment.first : deployment.second;
        FakeUpstream &leaving = firstReads ? deployment.two : deployment.one;
        // So that a request goes to the other one if it may.
        (firstReads ? deployment.one : deployment.two).status = 503;
        deployment.catalog.silence(firstReads ? 0 : 1);
        deployment.catalog.drainOnly(firstReads ? 1 : 0, leaving.id());
        for (int number = 0; number < Requests; ++number) {
            checkStatus(co_await deployment.send(reader.callers, "POST", "/pay/1", "old-" + std::to_string(number)),
                        503);
        }
        CHECK(leaving.totalRuns() == 0);
    });
}

namespace
{

/// Until the nodes beside both upstreams have seen that these count their requests.
asio::awaitable<void> showCounting(Deployment &deployment)
{
    constexpr int Requests = 8;
    deployment.one.work = Milliseconds(200);
    deployment.two.work = Milliseconds(200);
    int answered = 0;
    for (int number = 0; number < Requests; ++number) {
        asio::co_spawn(
            co_await asio::this_coro::executor,
            [&deployment, &answered, number]() -> asio::awaitable<void> {
                (void)co_await deployment.send(deployment.first.callers, "GET", "/read/1",
                                               "count-" + std::to_string(number));
                ++answered;
            },
            asio::detached);
        co_await deployment.sleep(Milliseconds(70));
    }
    checkHappened(co_await deployment.until([&] { return answered == Requests; }));
    CHECK(deployment.one.totalRuns() > 0);
    CHECK(deployment.two.totalRuns() > 0);
    deployment.one.work = Milliseconds(5);
    deployment.two.work = Milliseconds(5);
}

}

// Guards against waiting out the silence of an upstream that dropped a request without a word.
TEST_CASE("reads that an upstream has lost are answered by another one before their timeout")
{
    constexpr int Reads = 4;
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await showCounting(deployment);
        deployment.one.loses = true;
        for (int number = 0; number < Reads; ++number) {
            const std::string id = "read-" + std::to_string(number);
            const Reply reply = co_await deployment.send(deployment.first.callers, "GET", "/read/1", id);
            CHECK(reply.body.starts_with("i-2:"));
        }
    });
}

// Guards against leaving a payment's caller without an answer until its timeout though its outcome can't be known any
// more.
TEST_CASE("a payment that its upstream has lost ends as unknown as soon as that shows, and is not sent again")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        co_await showCounting(deployment);
        deployment.one.loses = true;
        deployment.two.loses = true;
        const TimePoint begun = std::chrono::steady_clock::now();
        const Reply reply = co_await deployment.send(deployment.first.callers, "POST", "/pay/1", "lost");
        CHECK(reply.status == 502);
        CHECK(std::chrono::steady_clock::now() - begun < Milliseconds(750));
        CHECK(deployment.runs("lost") == 0);
    });
}

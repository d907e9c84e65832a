#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>

#include "deployment.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

constexpr int Upstreams = 4;
const std::string CrashingPath = "/read/crash";
const std::string CrashingPayment = "/pay/crash";

/// Upstreams of one service, with their nodes. A request for @p path crashes them.
struct CrashingService : SidecarFixture
{
    explicit CrashingService(const std::string &path = CrashingPath)
    {
        for (int number = 1; number <= Upstreams; ++number) {
            FakeUpstream &upstream = addUpstream("i-" + std::to_string(number));
            upstream.crashesOn = path;
            upstreams.push_back(&upstream);
            nodes.push_back(&addNode(upstream, "statements"));
        }
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    /// Sends attempts with different ids one after another, each to the next node.
    asio::awaitable<void> sendCrashing(std::string method, std::string path, int attempts, std::string body = {})
    {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const TestNode &node = *nodes[static_cast<std::size_t>(attempt) % nodes.size()];
            lastReply =
                co_await send(node.callers, method, path, path + std::to_string(attempt), Milliseconds(700), body);
            co_await sleep(Milliseconds(40));
        }
    }

    asio::awaitable<void> sendOne(const TestNode &node, std::string method, std::string path, std::string id,
                                  Milliseconds timeout = Milliseconds(700))
    {
        lastReply = co_await send(node.callers, method, path, id, timeout);
    }

    asio::awaitable<void> sendUnrelated(int number, std::vector<std::uint16_t> &statuses)
    {
        const TestNode &node = *nodes[static_cast<std::size_t>(number) % nodes.size()];
        const std::string name = "other-" + std::to_string(number);
        co_await sleep(Milliseconds(10 * number));
        const Reply reply = co_await send(node.callers, "GET", "/read/" + name, name);
        statuses.push_back(reply.status);
    }

    /// Makes runs long enough for an upstream to hold several requests when it crashes.
    void setRunDuration(Milliseconds duration)
    {
        for (FakeUpstream *upstream : upstreams) {
            upstream->runDuration = duration;
        }
    }

    /// Starts twelve requests that crash nothing, one after another, spread over all nodes.
    asio::awaitable<void> startUnrelatedRequests(std::vector<std::uint16_t> &statuses)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        for (int number = 0; number < 12; ++number) {
            asio::co_spawn(executor, sendUnrelated(number, statuses), asio::detached);
        }
    }

    [[nodiscard]] int crashes() const
    {
        int sum = 0;
        for (const FakeUpstream *upstream : upstreams) {
            sum += upstream->crashes();
        }
        return sum;
    }

    std::vector<FakeUpstream *> upstreams;
    std::vector<TestNode *> nodes;
    Reply lastReply;
};

}

// Guards against a request that crashes one upstream after another, because each node judges each attempt alone.
TEST_CASE("a read that has crashed two upstreams is not sent to any more upstreams")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> { co_await service.sendCrashing("GET", CrashingPath, 16); });
    CHECK(service.crashes() == 2);
    checkStatus(service.lastReply, 503);
}

// Guards against a request that crashes one upstream after another though the nodes never retry it: its callers send it
// again and again.
TEST_CASE("a payment that has crashed two upstreams is not sent to any more upstreams")
{
    CrashingService service(CrashingPayment);
    service.run(
        [&]() -> asio::awaitable<void> { co_await service.sendCrashing("POST", CrashingPayment, 16, "amount=5"); });
    CHECK(service.crashes() == 2);
    checkStatus(service.lastReply, 503);
}

// Guards against further crashes after attempts that arrive at all nodes together. They reach upstreams before any node
// has seen a crash, so they may crash those upstreams, but no upstream after that.
TEST_CASE("attempts that arrive together crash the upstreams that they reached, and later attempts crash none")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            const TestNode &node = *service.nodes[static_cast<std::size_t>(number) % service.nodes.size()];
            asio::co_spawn(co_await asio::this_coro::executor,
                           service.sendOne(node, "GET", CrashingPath, "together" + std::to_string(number)),
                           asio::detached);
        }
        co_await service.sleep(Milliseconds(300));
        const int crashesAtFirst = service.crashes();
        CHECK(crashesAtFirst <= Upstreams);
        co_await service.sendCrashing("GET", CrashingPath, 8);
        CHECK(service.crashes() == crashesAtFirst);
    });
}

// Guards against refusing unrelated requests because the upstream that held them was crashed by another request.
TEST_CASE("unrelated requests that a crashed upstream held are answered elsewhere, and again when they are sent again")
{
    CrashingService service;
    service.setRunDuration(Milliseconds(25));
    service.run([&]() -> asio::awaitable<void> {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        std::vector<std::uint16_t> statuses;
        co_await service.startUnrelatedRequests(statuses);
        asio::co_spawn(executor, service.sendCrashing("GET", CrashingPath, 6), asio::detached);
        (void)co_await service.waitUntil([&] { return statuses.size() == 12; });
        CHECK(service.crashes() > 0);
        CHECK(std::count(statuses.begin(), statuses.end(), 200) == 12);
        co_await service.sleep(Milliseconds(200));
        const Reply again = co_await service.send(service.nodes[0]->callers, "GET", "/read/other-1", "again");
        checkStatus(again, 200);
    });
}

// Guards against an unrelated request that is retried at the same upstreams as the crashing request, so that it is held
// by each upstream that crashes and is refused as well.
TEST_CASE("requests that a crashed upstream held are not retried together at the next upstream")
{
    CrashingService service;
    service.setRunDuration(Milliseconds(60));
    // Both requests would prefer the second upstream.
    service.upstreams[2]->slowdown = 400;
    service.upstreams[3]->slowdown = 400;
    service.run([&]() -> asio::awaitable<void> {
        const TestNode &node = *service.nodes[0];
        for (int number = 0; number < 8; ++number) {
            (void)co_await service.send(node.callers, "GET", "/read/" + std::to_string(number), std::to_string(number));
        }
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        // The same timeout as the other requests: a request with less time left counts as a late retry of its caller.
        constexpr Milliseconds RequestTimeout{1000};
        asio::co_spawn(executor, service.sendOne(node, "GET", CrashingPath, "guilty", RequestTimeout), asio::detached);
        const Reply unrelated = co_await service.send(node.callers, "GET", "/read/bystander", "bystander");
        checkStatus(unrelated, 200);
        (void)co_await service.waitUntil([&] { return service.lastReply.status != 0; });
        CHECK(service.crashes() == 2);
    });
}

// Guards against refusing unrelated requests because one upstream that held them crashed.
TEST_CASE("requests that one crashed upstream held are answered, at that time and after the next crash")
{
    CrashingService service(CrashingPayment);
    service.setRunDuration(Milliseconds(25));
    service.run([&]() -> asio::awaitable<void> {
        std::vector<std::uint16_t> statuses;
        co_await service.startUnrelatedRequests(statuses);
        co_await service.sendCrashing("POST", CrashingPayment, 1);
        (void)co_await service.waitUntil([&] { return statuses.size() == 12; });
        CHECK(service.crashes() == 1);
        CHECK(std::count(statuses.begin(), statuses.end(), 200) == 12);
        co_await service.sendCrashing("POST", CrashingPayment, 3);
        CHECK(service.crashes() == 2);
        const Reply again = co_await service.send(service.nodes[0]->callers, "GET", "/read/other-1", "again");
        checkStatus(again, 200);
    });
}

// Guards against a node that starts without knowledge of earlier crashes and sends a crashing request to its upstream.
TEST_CASE("a node that has just started refuses the requests that other nodes refuse")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> {
        co_await service.sendCrashing("GET", CrashingPath, 6);
        FakeUpstream &upstream = service.addUpstream("i-new");
        upstream.crashesOn = CrashingPath;
        const TestNode &node = service.addNode(upstream, "statements", {service.nodes[0]->peers});
        service.catalog.publishList();
        co_await service.sleep(Milliseconds(100));
        const Reply reply = co_await service.send(node.callers, "GET", CrashingPath, "at the new one");
        CHECK(reply.status == 503);
        CHECK(std::stod(std::string(reply.headers.find("Retry-After").value_or("0"))) > 3600.0);
        CHECK(upstream.crashes() == 0);
    });
}

// Guards against a request that is still running when the nodes begin to refuse it, and then crashes one more upstream.
TEST_CASE("a run of a request is cancelled when the nodes begin to refuse the request")
{
    CrashingService service;
    service.upstreams[0]->runDuration = Milliseconds(400);
    service.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            asio::co_spawn(co_await asio::this_coro::executor,
                           service.sendOne(*service.nodes[0], "GET", CrashingPath, "slow" + std::to_string(number)),
                           asio::detached);
        }
        co_await service.sleep(Milliseconds(600));
    });
    CHECK(service.upstreams[0]->crashes() == 0);
    CHECK(service.crashes() >= 2);
}

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

/// Upstreams of one service that a request of CrashingPath or @p path ends, with their nodes.
struct CrashingService : SidecarFixture
{
    explicit CrashingService(const std::string &path = CrashingPath)
    {
        for (int number = 1; number <= Upstreams; ++number) {
            FakeUpstream &upstream = addUpstream("i-" + std::to_string(number));
            upstream.endsOn = path;
            upstreams.push_back(&upstream);
            nodes.push_back(&addNode(upstream, "statements"));
        }
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    /// Attempts with ids of their own, one after the other, at one node after the other.
    asio::awaitable<void> sendCrashing(std::string method, std::string path, int attempts, std::string body = {})
    {
        for (int attempt = 0; attempt < attempts; ++attempt) {
            const FakeNode &node = *nodes[static_cast<std::size_t>(attempt) % nodes.size()];
            last = co_await send(node.callers, method, path, path + std::to_string(attempt), Milliseconds(700), body);
            co_await sleep(Milliseconds(40));
        }
    }

    asio::awaitable<void> sendOne(const FakeNode &node, std::string method, std::string path, std::string id,
                                  Milliseconds patience = Milliseconds(700))
    {
        last = co_await send(node.callers, method, path, id, patience);
    }

    asio::awaitable<void> sendBystander(int number, std::vector<std::uint16_t> &statuses)
    {
        const FakeNode &node = *nodes[static_cast<std::size_t>(number) % nodes.size()];
        const std::string name = "other-" + std::to_string(number);
        co_await sleep(Milliseconds(10 * number));
        const Reply reply = co_await send(node.callers, "GET", "/read/" + name, name);
        statuses.push_back(reply.status);
    }

    /// Upstreams work long enough to hold several requests when they end.
    void slowDown(Milliseconds work)
    {
        for (FakeUpstream *upstream : upstreams) {
            upstream->work = work;
        }
    }

    /// Twelve proper requests, one after the other, at all nodes.
    asio::awaitable<void> startBystanders(std::vector<std::uint16_t> &statuses)
    {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        for (int number = 0; number < 12; ++number) {
            asio::co_spawn(executor, sendBystander(number, statuses), asio::detached);
        }
    }

    [[nodiscard]] int ends() const
    {
        int sum = 0;
        for (const FakeUpstream *upstream : upstreams) {
            sum += upstream->ends();
        }
        return sum;
    }

    std::vector<FakeUpstream *> upstreams;
    std::vector<FakeNode *> nodes;
    Reply last;
};

}

// Guards against a request that ends one upstream after the other, as each node judges each attempt alone.
TEST_CASE("a read that has ended two upstreams is sent to none any more")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> { co_await service.sendCrashing("GET", CrashingPath, 16); });
    CHECK(service.ends() == 2);
    checkStatus(service.last, 503);
}

// As above, for requests that the nodes themselves never send again: only their callers do.
TEST_CASE("a payment that has ended two upstreams is sent to none any more")
{
    CrashingService service(CrashingPayment);
    service.run(
        [&]() -> asio::awaitable<void> { co_await service.sendCrashing("POST", CrashingPayment, 16, "amount=5"); });
    CHECK(service.ends() == 2);
    checkStatus(service.last, 503);
}

// Guards against what comes together at all nodes before any of them has seen a crash: it ends what it has reached, and
// nothing after that.
TEST_CASE("attempts that come together end the upstreams that they reached, and no other one after that")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            const FakeNode &node = *service.nodes[static_cast<std::size_t>(number) % service.nodes.size()];
            asio::co_spawn(co_await asio::this_coro::executor,
                           service.sendOne(node, "GET", CrashingPath, "together" + std::to_string(number)),
                           asio::detached);
        }
        co_await service.sleep(Milliseconds(300));
        const int endsAtFirst = service.ends();
        CHECK(endsAtFirst <= Upstreams);
        co_await service.sendCrashing("GET", CrashingPath, 8);
        CHECK(service.ends() == endsAtFirst);
    });
}

// Guards against bystanders that are refused since the upstream that held them ended by another request.
TEST_CASE("other requests that an ended upstream held are answered elsewhere, and again")
{
    CrashingService service;
    service.slowDown(Milliseconds(25));
    service.run([&]() -> asio::awaitable<void> {
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        std::vector<std::uint16_t> statuses;
        co_await service.startBystanders(statuses);
        asio::co_spawn(executor, service.sendCrashing("GET", CrashingPath, 6), asio::detached);
        (void)co_await service.until([&] { return statuses.size() == 12; });
        CHECK(service.ends() > 0);
        CHECK(std::count(statuses.begin(), statuses.end(), 200) == 12);
        co_await service.sleep(Milliseconds(200));
        const Reply again = co_await service.send(service.nodes[0]->callers, "GET", "/read/other-1", "again");
        checkStatus(again, 200);
    });
}

// Guards against a bystander that follows the guilty request from one ended upstream to the next, and is refused with
// it.
TEST_CASE("requests that an ended upstream held are not tried together at the next one")
{
    CrashingService service;
    service.slowDown(Milliseconds(60));
    // Both requests would rather go to the second one.
    service.upstreams[2]->slowdown = 400;
    service.upstreams[3]->slowdown = 400;
    service.run([&]() -> asio::awaitable<void> {
        const FakeNode &node = *service.nodes[0];
        for (int number = 0; number < 8; ++number) {
            (void)co_await service.send(node.callers, "GET", "/read/" + std::to_string(number), std::to_string(number));
        }
        const asio::any_io_executor executor = co_await asio::this_coro::executor;
        // As patient as the others: one with less time left is taken for a caller that comes again, and is late.
        constexpr Milliseconds UsualPatience{1000};
        asio::co_spawn(executor, service.sendOne(node, "GET", CrashingPath, "guilty", UsualPatience), asio::detached);
        const Reply bystander = co_await service.send(node.callers, "GET", "/read/bystander", "bystander");
        checkStatus(bystander, 200);
        (void)co_await service.until([&] { return service.last.status != 0; });
        CHECK(service.ends() == 2);
    });
}

// Guards against bystanders that are refused since one upstream that held them ended.
TEST_CASE("requests that one ended upstream held are answered, then and after the next end")
{
    CrashingService service(CrashingPayment);
    service.slowDown(Milliseconds(25));
    service.run([&]() -> asio::awaitable<void> {
        std::vector<std::uint16_t> statuses;
        co_await service.startBystanders(statuses);
        co_await service.sendCrashing("POST", CrashingPayment, 1);
        (void)co_await service.until([&] { return statuses.size() == 12; });
        CHECK(service.ends() == 1);
        CHECK(std::count(statuses.begin(), statuses.end(), 200) == 12);
        co_await service.sendCrashing("POST", CrashingPayment, 3);
        CHECK(service.ends() == 2);
        const Reply again = co_await service.send(service.nodes[0]->callers, "GET", "/read/other-1", "again");
        checkStatus(again, 200);
    });
}

// Guards against a node that starts, knows of no crash, and hands such a request to its upstream.
TEST_CASE("a node that has just started refuses what the others refuse")
{
    CrashingService service;
    service.run([&]() -> asio::awaitable<void> {
        co_await service.sendCrashing("GET", CrashingPath, 6);
        FakeUpstream &upstream = service.addUpstream("i-new");
        upstream.endsOn = CrashingPath;
        const FakeNode &node = service.addNode(upstream, "statements", {service.nodes[0]->peers});
        service.catalog.publishList();
        co_await service.sleep(Milliseconds(100));
        const Reply reply = co_await service.send(node.callers, "GET", CrashingPath, "at the new one");
        CHECK(reply.status == 503);
        CHECK(std::stod(std::string(reply.headers.find("Retry-After").value_or("0"))) > 3600.0);
        CHECK(upstream.ends() == 0);
    });
}

// Guards against a request that was under way when it was accused, and ends one more upstream.
TEST_CASE("a run of a request that is refused meanwhile is broken off")
{
    CrashingService service;
    service.upstreams[0]->work = Milliseconds(400);
    service.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < 8; ++number) {
            asio::co_spawn(co_await asio::this_coro::executor,
                           service.sendOne(*service.nodes[0], "GET", CrashingPath, "slow" + std::to_string(number)),
                           asio::detached);
        }
        co_await service.sleep(Milliseconds(600));
    });
    CHECK(service.upstreams[0]->ends() == 0);
    CHECK(service.ends() >= 2);
}

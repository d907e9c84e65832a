#include <string>

#include <catch2/catch.hpp>

#include "deployment.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// The common limit of the deployment: a share of all requests, and a number in addition.
constexpr double RetryRatio = 0.2;
constexpr int RetrySlack = 40;

}

// Guards against repeats that no budget counts: upstreams run reads and lose the answers with their kept connections.
TEST_CASE("reads whose kept connections are lost are repeated within the budget that all nodes share")
{
    constexpr int ReadsPerCaller = 400;
    const int disconnectsAfterEach = GENERATE(2, 3);
    const int callers = GENERATE(1, 3, 6);
    Deployment deployment;
    for (FakeUpstream *upstream : {&deployment.one, &deployment.two}) {
        upstream->disconnectsAfterEach = disconnectsAfterEach;
        upstream->runDuration = Milliseconds(1);
    }
    int served = 0;
    int open = callers;
    const auto read = [&](int caller) -> asio::awaitable<void> {
        const Endpoint node = caller % 2 == 0 ? deployment.first.callers : deployment.second.callers;
        for (int number = 0; number < ReadsPerCaller / callers; ++number) {
            const std::string id = std::to_string(caller) + "-" + std::to_string(number);
            const Reply reply = co_await deployment.send(node, "GET", "/read/1", id);
            CHECK((reply.status == 200 || reply.status == 502));
            served += reply.status == 200 ? 1 : 0;
        }
        --open;
    };
    deployment.run([&]() -> asio::awaitable<void> {
        for (int caller = 0; caller < callers; ++caller) {
            deployment.start([&read, caller] { return read(caller); });
        }
        while (open > 0) {
            co_await deployment.sleep(Milliseconds(10));
        }
    });
    const int reads = ReadsPerCaller / callers * callers;
    const int repeats = deployment.one.totalRuns() + deployment.two.totalRuns() - reads;
    INFO(callers << " callers, each " << disconnectsAfterEach << "th run is lost, " << served << " of " << reads
                 << " served");
    CHECK(repeats <= RetryRatio * reads + RetrySlack);
    CHECK(repeats > 0);
}

// Guards against reads that fail since the only upstream of their service has closed an idle connection.
TEST_CASE("a read whose kept connection was lost is sent to the same upstream again if there is no other")
{
    Deployment deployment;
    deployment.catalog.remove("i-2");
    deployment.run([&]() -> asio::awaitable<void> {
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/read/1", "a"), 200);
        deployment.one.disconnectsAfterEach = 2;
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/read/1", "b"), 200);
        CHECK(deployment.one.runs("b") == 2);
    });
}

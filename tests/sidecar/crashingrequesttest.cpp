#include <catch2/catch.hpp>

#include <string>
#include <vector>

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

#include <catch2/catch.hpp>

#include <string>

#include "deployment.h"

using namespace Egretpath;

namespace asio = boost::asio;

namespace
{

const Location North = FakeCatalog::UsualLocation;
const Location South{RegionName("south"), ZoneName("south-a")};

/// An upstream with its node in each of two regions, and with the routes and the list published.
struct TwoRegions : SidecarFixture
{
    explicit TwoRegions(const std::string &payRegions)
        : northern(addUpstream("i-north"))
        , southern(addUpstream("i-south"))
        , north(addNode(northern, "statements", {}, North))
        , south(addNode(southern, "statements", {}, South))
    {
        catalog.payRegions = payRegions;
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    /// Sends @p count requests to the route of /pay/ and returns how many were answered with @p status.
    asio::awaitable<int> pay(const TestNode &node, int count, std::uint16_t status)
    {
        int matching = 0;
        for (int number = 0; number < count; ++number) {
            const std::string id = "p" + std::to_string(++requests_);
            const Reply reply = co_await send(node.callers, "POST", "/pay/1", id);
            matching += reply.status == status ? 1 : 0;
        }
        co_return matching;
    }

    FakeUpstream &northern;
    FakeUpstream &southern;
    TestNode &north;
    TestNode &south;

private:
    int requests_ = 0;
};

void checkCount(int count, int expected)
{
    CHECK(count == expected);
}

}

// Guards against a route's requests that run in a region where the route may not be served, since it is the nearest.
TEST_CASE("requests of a route with regions run only there, also if their caller is elsewhere")
{
    constexpr int Requests = 10;
    TwoRegions deployment(R"(["south"])");
    deployment.run([&]() -> asio::awaitable<void> {
        checkCount(co_await deployment.pay(deployment.north, Requests, 200), Requests);
        checkCount(co_await deployment.pay(deployment.south, Requests, 200), Requests);
    });
    CHECK(deployment.northern.totalRuns() == 0);
    CHECK(deployment.southern.totalRuns() == 2 * Requests);
}

// Guards against a route that is served anywhere because no upstream is left in its regions.
TEST_CASE("requests of a route whose regions have no upstream are refused at once with a retry delay")
{
    TwoRegions deployment(R"(["south"])");
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.remove("i-south");
        const TimePoint start = std::chrono::steady_clock::now();
        const Reply reply = co_await deployment.send(deployment.north.callers, "POST", "/pay/1", "one");
        checkStatus(reply, 503);
        CHECK(reply.headers.contains("Retry-After"));
        CHECK(std::chrono::steady_clock::now() - start < Milliseconds(200));
    });
    CHECK(deployment.northern.totalRuns() == 0);
}

// Guards against an ingress that still has routes which allow a region that newer routes rule out: the node beside the
// upstream has the newer ones and looks again.
TEST_CASE("the node beside the upstream refuses a request that newer routes keep out of its region")
{
    TwoRegions deployment("[]");
    deployment.catalog.remove("i-south");
    deployment.run([&]() -> asio::awaitable<void> {
        checkCount(co_await deployment.pay(deployment.south, 1, 200), 1);
        // The node in the south is not told.
        deployment.catalog.payRegions = R"(["south"])";
        deployment.catalog.publishRoutesOnlyTo(0, 11);
        const int runs = deployment.northern.totalRuns();
        checkCount(co_await deployment.pay(deployment.south, 1, 503), 1);
        CHECK(deployment.northern.totalRuns() == runs);
    });
}

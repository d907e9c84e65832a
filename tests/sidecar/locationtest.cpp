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

    /// Starts a request to the route of /pay/ and counts it in @p answered if it succeeds.
    void startPaying(const TestNode &node, int &answered)
    {
        const std::string id = "p" + std::to_string(++requests_);
        start([this, &node, &answered, id]() -> asio::awaitable<void> {
            const Reply reply = co_await send(node.callers, "POST", "/pay/1", id);
            answered += reply.status == 200 ? 1 : 0;
        });
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

// Guards against requests that are sent to an evacuated zone, and against a node there that stops serving its callers.
TEST_CASE("an evacuated zone gets no requests until the evacuation ends, and its nodes go on serving their callers")
{
    constexpr int Requests = 10;
    TwoRegions deployment("[]");
    deployment.run([&]() -> asio::awaitable<void> {
        for (int round = 1; round <= 2; ++round) {
            deployment.catalog.evacuate("north-a");
            const int runs = deployment.northern.totalRuns();
            checkCount(co_await deployment.pay(deployment.north, Requests, 200), Requests);
            checkCount(co_await deployment.pay(deployment.south, Requests, 200), Requests);
            CHECK(deployment.northern.totalRuns() == runs);
            checkReadiness(co_await deployment.readiness(deployment.north.ready), 200);
            deployment.catalog.evacuate("north-a", false);
            checkCount(co_await deployment.pay(deployment.north, Requests, 200), Requests);
            CHECK(deployment.northern.totalRuns() > runs);
        }
    });
}

// Guards against an evacuation that cuts off what runs, and against one that waiting requests escape.
TEST_CASE("what runs in a zone that is evacuated is finished, and what waits there goes elsewhere")
{
    constexpr int Slots = 4;
    constexpr int Waiting = 2;
    TwoRegions deployment("[]");
    deployment.northern.runDuration = Milliseconds(250);
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.remove("i-south");
        int answered = 0;
        for (int number = 0; number < Slots + Waiting; ++number) {
            deployment.startPaying(deployment.north, answered);
        }
        checkHappened(co_await deployment.waitUntil([&] { return deployment.northern.totalRuns() == Slots; }));
        deployment.catalog.add(deployment.southern, deployment.south.peers, "statements", South);
        deployment.catalog.publishList();
        deployment.catalog.evacuate("north-a");
        checkHappened(co_await deployment.waitUntil([&] { return answered == Slots + Waiting; }));
    });
    CHECK(deployment.northern.totalRuns() == Slots);
    CHECK(deployment.southern.totalRuns() == Waiting);
}

// Guards against requests that are held, or sent to an evacuated zone, because no other zone is left.
TEST_CASE("while all zones of a service are evacuated its requests are refused at once with a retry delay")
{
    TwoRegions deployment("[]");
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.evacuate("north-a");
        deployment.catalog.evacuate("south-a");
        const TimePoint start = std::chrono::steady_clock::now();
        const Reply reply = co_await deployment.send(deployment.north.callers, "GET", "/read/1", "one");
        checkStatus(reply, 503);
        CHECK(reply.headers.contains("Retry-After"));
        CHECK(std::chrono::steady_clock::now() - start < Milliseconds(200));
    });
    CHECK(deployment.northern.totalRuns() + deployment.southern.totalRuns() == 0);
}

// Guards against an ingress that does not know of an evacuation yet: the node beside the upstream looks again.
TEST_CASE("the node beside the upstream refuses requests for its evacuated zone")
{
    TwoRegions deployment("[]");
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.remove("i-south");
        checkCount(co_await deployment.pay(deployment.south, 1, 200), 1);
        deployment.catalog.stopUpdatesTo(1);
        deployment.catalog.evacuate("north-a");
        const int runs = deployment.northern.totalRuns();
        checkCount(co_await deployment.pay(deployment.south, 3, 503), 3);
        CHECK(deployment.northern.totalRuns() == runs);
    });
}

// Guards against a node that starts while the store is out of its reach and sends requests to an evacuated zone, and
// against one that never hears of the end.
TEST_CASE("a node that starts without the store knows the evacuated zones from others before it serves")
{
    constexpr int Requests = 5;
    TwoRegions deployment("[]");
    FakeUpstream &third = deployment.addUpstream("i-third");
    deployment.run([&]() -> asio::awaitable<void> {
        checkCount(co_await deployment.pay(deployment.south, 1, 200), 1);
        deployment.catalog.evacuate("north-a");
        deployment.catalog.isUnreachable = true;
        const int runs = deployment.northern.totalRuns();
        const TestNode &late = deployment.addNode(third, "plans", {deployment.north.peers}, North);
        int answered = 0;
        while (answered < Requests) {
            answered += co_await deployment.pay(late, 1, 200);
            co_await deployment.sleep(Milliseconds(20));
        }
        CHECK(deployment.northern.totalRuns() == runs);
        deployment.catalog.evacuate("north-a", false);
        deployment.catalog.remove("i-south");
        co_await deployment.sleep(Milliseconds(1500));
        checkCount(co_await deployment.pay(late, Requests, 200), Requests);
    });
}

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "deployment.h"
#include "instances/catalogtimes.h"

using namespace Egretpath;
namespace asio = boost::asio;

// The store comes back with an older copy, or a peer that was cut off passes its routes on.
TEST_CASE("routes never go back to an older version")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        deployment.catalog.publishRoutes(12);
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/v12/1", "a"), 200);
        deployment.catalog.publishRoutes(11);
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/v12/1", "b"), 200);
        checkStatus(co_await deployment.send(deployment.first.callers, "GET", "/v11/1", "c"), 404);
    });
}

// The store turns one machine away, and its node is restarted meanwhile. The others have routes and list.
TEST_CASE("a node that starts without the store learns routes and upstreams from its seeds")
{
    Deployment deployment;
    FakeUpstream &upstream = deployment.addUpstream("i-3");
    deployment.catalog.unreachable = true;
    FakeNode &late = deployment.addNode(upstream, "statements", {deployment.first.peers});
    deployment.run([&]() -> asio::awaitable<void> {
        std::uint16_t ready = 0;
        for (int attempt = 0; attempt < 40 && ready != 200; ++attempt) {
            ready = co_await deployment.readiness(late.ready);
            co_await deployment.sleep(Milliseconds(50));
        }
        CHECK(ready == 200);
        checkStatus(co_await deployment.send(late.callers, "GET", "/read/1", "a"), 200);
        deployment.catalog.publishRoutes(14);
        Reply reply;
        for (int attempt = 0; attempt < 40 && reply.status != 200; ++attempt) {
            reply = co_await deployment.send(late.callers, "GET", "/v14/1", "b" + std::to_string(attempt));
            co_await deployment.sleep(Milliseconds(50));
        }
        CHECK(reply.status == 200);
    });
}

// All VMs lose power at once and come back one after the other. A node that is back early asked the nodes that its
// settings name, which were still dark, and waited for each of them in turn: for most of a second it turned its callers
// away, with the store in reach.
TEST_CASE("a node that starts does not wait long for nodes that don't answer")
{
    Deployment deployment;
    FakeUpstream &upstream = deployment.addUpstream("i-3");
    asio::io_context dark;
    using asio::ip::tcp;
    const tcp::endpoint anywhere(asio::ip::address_v4::loopback(), 0);
    std::vector<tcp::acceptor> silent;
    std::vector<Endpoint> seeds;
    for (int count = 0; count < 3; ++count) {
        const auto port = silent.emplace_back(dark, anywhere).local_endpoint().port();
        seeds.emplace_back("127.0.0.1:" + std::to_string(port));
    }
    FakeNode &early = deployment.addNode(upstream, "statements", seeds);
    deployment.run([&]() -> asio::awaitable<void> {
        checkStatus(co_await deployment.send(early.callers, "GET", "/read/1", "early"), 503);
        co_await deployment.sleep(Milliseconds(400));
        checkReadiness(co_await deployment.readiness(early.ready), 200);
        checkStatus(co_await deployment.send(early.callers, "GET", "/read/1", "a"), 200);
    });
}

TEST_CASE("one node reads the platform for its region, and the other has its news at once")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        deployment.catalog.publishRoutes(20);
        co_await deployment.sleep(Milliseconds(100));
        for (const FakeNode *node : {&deployment.first, &deployment.second}) {
            checkStatus(co_await deployment.send(node->callers, "GET", "/v20/1", "n-" + node->callers.value()), 200);
        }
        deployment.catalog.remove("i-1");
        co_await deployment.sleep(Milliseconds(100));
        for (const FakeNode *node : {&deployment.first, &deployment.second}) {
            const Reply reply = co_await deployment.send(node->callers, "GET", "/read/1", "l-" + node->callers.value());
            CHECK(reply.body.starts_with("i-2:"));
        }
    });
}

// Routes are moved to another service, and one region goes on with the old ones for as long as its reader is cut off
// from the platform: its followers have no watch of their own.
TEST_CASE("a follower whose reader can't read the platform any more reads for itself")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        const std::size_t reader = deployment.catalog.reads(0) ? 0 : 1;
        FakeNode &follower = reader == 0 ? deployment.second : deployment.first;
        deployment.catalog.silence(reader);
        deployment.catalog.lose(reader);
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 2; }));
        deployment.catalog.publishRoutes(20);
        checkStatus(co_await deployment.send(follower.callers, "GET", "/v20/1", "after"), 200);
    });
}

// A change of the routes reaches all nodes but one, which sends requests by the old ones for half a minute. Its watch
// at the platform hangs on a connection that something on the way has forgotten, and nothing ever tells it.
TEST_CASE("a node whose source has fallen silent learns from others that it missed a change")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        const bool firstReads = deployment.catalog.reads(0);
        FakeNode &reader = firstReads ? deployment.first : deployment.second;
        FakeUpstream &own = firstReads ? deployment.one : deployment.two;
        FakeUpstream &other = firstReads ? deployment.two : deployment.one;
        // The reader hears nothing more; the other node has the change.
        deployment.catalog.silence(firstReads ? 0 : 1);
        deployment.catalog.tellOnly(firstReads ? 1 : 0, 20);
        // Requests at the reader go on to the other node, whose answers say what it has.
        own.status = 503;
        for (int number = 0; number < 20; ++number) {
            (void)co_await deployment.send(reader.callers, "GET", "/read/1", "c-" + std::to_string(number));
            co_await deployment.sleep(Milliseconds(100));
        }
        CHECK(other.totalRuns() > 0);
        // The new route allows one attempt, so that either upstream has to answer it.
        own.status = 200;
        checkStatus(co_await deployment.send(reader.callers, "GET", "/v20/1", "late"), 200);
    });
}

// A third of the VMs is cut off from the store, and after some seconds their upstreams vanish from its list, though
// they live. Their callers get refusals for overload, since all nodes crowd on the upstreams that are left. Nodes in
// there that read the store know that they are cut off and go on using the lapsed ones; those that follow a node
// outside do not.
TEST_CASE("a follower that is cut off from the store itself does not drop upstreams that lapse")
{
    Deployment deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        const bool firstReads = deployment.catalog.reads(0);
        FakeNode &reader = firstReads ? deployment.first : deployment.second;
        FakeNode &follower = firstReads ? deployment.second : deployment.first;
        const std::string lapsed = firstReads ? "i-2" : "i-1";
        const std::string left = firstReads ? "i-1" : "i-2";
        deployment.catalog.cutOff = true;
        deployment.catalog.remove(lapsed);
        co_await deployment.sleep(Milliseconds(300));
        const Reply outside = co_await deployment.send(reader.callers, "GET", "/read/1", "outside");
        CHECK(outside.body.starts_with(left + ":"));
        // The other upstream takes nothing more, so that the request shows whether the lapsed one is still used.
        (firstReads ? deployment.one : deployment.two).status = 503;
        const Reply inside = co_await deployment.send(follower.callers, "GET", "/read/1", "inside");
        CHECK(inside.body.starts_with(lapsed + ":"));
    });
}

// A fleet starts, and each of its nodes reads everything from the store though one had asked it: the list that it got
// is empty as yet, so that it takes itself for the only node of its region.
TEST_CASE("a node that is not listed yet goes on with the node that it began at")
{
    SidecarFixture fixture;
    FakeUpstream &one = fixture.addUpstream("i-1");
    FakeUpstream &two = fixture.addUpstream("i-2");
    FakeNode &seed = fixture.addNode(one, "statements");
    fixture.catalog.publishRoutes(10);
    fixture.catalog.remove("i-1");
    fixture.catalog.publishList();
    FakeNode &late = fixture.addNode(two, "statements", {seed.peers});
    fixture.catalog.remove("i-2");
    fixture.run([&]() -> asio::awaitable<void> {
        co_await fixture.sleep(Milliseconds(1500));
        CHECK(fixture.catalog.reads(0));
        CHECK_FALSE(fixture.catalog.reads(1));
        checkStatus(co_await fixture.send(late.callers, "GET", "/read/1", "early"), 503);
    });
}

// Guards against large routes that outlast the limits of those who wait for them, and are sent again and again.
TEST_CASE("changes of many routes pass links of little bandwidth, and followers stay with their source")
{
    constexpr std::size_t ManyRoutes = 1400;
    // A node's share of 10 Mbit/s while its source serves two more.
    constexpr std::uint64_t LinkShare = 416'000;
    constexpr Milliseconds InForceWithin{2000};
    Deployment deployment;
    deployment.putBehindLink(deployment.first, deployment.one, "statements", LinkShare);
    deployment.putBehindLink(deployment.second, deployment.two, "statements", LinkShare);
    deployment.catalog.idleRoutes = ManyRoutes;
    deployment.catalog.publishList();
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        for (std::uint64_t version = 20; version < 24; ++version) {
            deployment.catalog.publishRoutes(version);
            for (Milliseconds waited{0}; waited < InForceWithin; waited += Milliseconds(100)) {
                co_await deployment.sleep(Milliseconds(100));
                CHECK(deployment.catalog.readers() == 1);
            }
            const std::string target = "/v" + std::to_string(version) + "/1";
            for (const FakeNode *node : {&deployment.first, &deployment.second}) {
                checkStatus(co_await deployment.send(node->callers, "GET", target, target + node->callers.value()),
                            200);
            }
        }
    });
}

// Guards against a fleet of which every node calls a store that is away, or that does not see it come back.
TEST_CASE("while the store is away, nodes stay with their sources, and have its news when it is back")
{
    constexpr int Nodes = 8;
    constexpr std::chrono::seconds Away{6};
    SidecarFixture fixture;
    std::vector<FakeNode *> nodes;
    nodes.reserve(Nodes);
    for (int number = 0; number < Nodes; ++number) {
        nodes.push_back(&fixture.addNode(fixture.addUpstream("i-" + std::to_string(number)), "statements"));
    }
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    fixture.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await fixture.until([&] { return fixture.catalog.readers() == 1; }));
        fixture.catalog.setAway(true);
        co_await fixture.sleep(Away);
        // The reader and its two deputies.
        CHECK(fixture.catalog.readers() <= 3);
        for (const FakeNode *node : nodes) {
            checkStatus(co_await fixture.send(node->callers, "GET", "/read/1", "away-" + node->callers.value()), 200);
        }
        fixture.catalog.setAway(false);
        co_await fixture.sleep(Milliseconds(2000));
        fixture.catalog.publishRoutes(20);
        co_await fixture.sleep(Milliseconds(200));
        for (const FakeNode *node : nodes) {
            checkStatus(co_await fixture.send(node->callers, "GET", "/v20/1", "back-" + node->callers.value()), 200);
        }
        CHECK(fixture.catalog.readers() == 1);
    });
}

// Guards against nodes that start while the store is away, take routes from a seed, and then hear of nothing newer.
TEST_CASE("nodes that started while the store was away have its news when it is back")
{
    constexpr int Late = 4;
    constexpr Milliseconds InForceWithin{1500};
    Deployment deployment;
    std::vector<FakeNode *> late;
    late.reserve(Late);
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.until([&] { return deployment.catalog.readers() == 1; }));
        deployment.catalog.setAway(true);
        co_await deployment.sleep(CatalogTimes().provenFor + Milliseconds(500));
        for (int number = 0; number < Late; ++number) {
            const FakeUpstream &upstream = deployment.addUpstream("i-late-" + std::to_string(number));
            late.push_back(&deployment.addNode(upstream, "statements", {deployment.first.peers}));
        }
        co_await deployment.sleep(Milliseconds(1500));
        deployment.catalog.setAway(false);
        deployment.catalog.publishRoutes(30);
        co_await deployment.sleep(InForceWithin);
        for (const FakeNode *node : late) {
            checkStatus(co_await deployment.send(node->callers, "GET", "/v30/1", "late-" + node->callers.value()), 200);
        }
    });
}

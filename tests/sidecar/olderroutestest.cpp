#include <catch2/catch.hpp>

#include <string>

#include "deployment.h"

using namespace Egretpath;

namespace asio = boost::asio;

namespace
{

/// A route to @p service, as an entry of FakeCatalog::moreRoutes.
std::string routeTo(const std::string &name, const std::string &service)
{
    return R"({"name":")" + name + R"(","kind":"unsafe","target_latency":"300ms","priority":1,"match":{"prefix":"/)"
        + name + R"(/"},"action":{"service":")" + service + R"(","timeout":"800ms","max_attempts":3}},)";
}

/// Two services with one upstream each, and a third one to which their routes are moved. The nodes beside the first two
/// follow the third, or one of them reads the store for the others.
struct ThreeServices : SidecarFixture
{
    ThreeServices()
        : left(addUpstream("i-left"))
        , right(addUpstream("i-right"))
        , target(addUpstream("i-target"))
        , nodes{&addNode(left, "left"), &addNode(right, "right"), &addNode(target, "target")}
    {
        catalog.moreRoutes = routeTo("left", "left") + routeTo("right", "right");
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    /// The number of the node that reads the store for all.
    [[nodiscard]] std::size_t reader() const
    {
        std::size_t number = 0;
        while (!catalog.isReading(number)) {
            ++number;
        }
        return number;
    }

    /// The first of the two nodes beside upstreams whose routes are moved that does not read the store.
    [[nodiscard]] std::size_t follower() const { return reader() == 0 ? 1 : 0; }
    [[nodiscard]] FakeUpstream &oldUpstream() { return follower() == 0 ? left : right; }
    [[nodiscard]] std::string path() const { return follower() == 0 ? "/left/1" : "/right/1"; }

    /// Sends a request to the node that has older routes than the one beside its upstream.
    asio::awaitable<Reply> sendToOlder(const std::string &request)
    {
        co_return co_await send(nodes[reader()]->callers, "POST", path(), request);
    }

    FakeUpstream &left;
    FakeUpstream &right;
    FakeUpstream &target;
    std::vector<TestNode *> nodes;
};

void checkRuns(int runs, int expected)
{
    CHECK(runs == expected);
}

}

// Guards against a request that the former service of its route runs, since its node has older routes than others.
TEST_CASE("a request that older routes place is not run by the former service if the node there knows better")
{
    ThreeServices deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.waitUntil([&] { return deployment.catalog.readerCount() == 1; }));
        checkStatus(co_await deployment.sendToOlder("before"), 200);
        checkRuns(deployment.oldUpstream().totalRuns(), 1);
        deployment.catalog.moreRoutes = routeTo("left", "target") + routeTo("right", "target");
        deployment.catalog.publishRoutesOnlyTo(deployment.follower(), 11);
        const Reply reply = co_await deployment.sendToOlder("after");
        INFO(reply.body);
        checkStatus(reply, 200);
    });
    CHECK(deployment.oldUpstream().totalRuns() == 1);
    CHECK(deployment.target.totalRuns() == 1);
}

// Guards against a request that runs although its route was removed.
TEST_CASE("a request of a route that was removed is not run if the node beside its upstream knows better")
{
    ThreeServices deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.waitUntil([&] { return deployment.catalog.readerCount() == 1; }));
        deployment.catalog.moreRoutes.clear();
        deployment.catalog.publishRoutesOnlyTo(deployment.follower(), 11);
        checkStatus(co_await deployment.sendToOlder("after"), 404);
    });
    CHECK(deployment.oldUpstream().totalRuns() == 0);
}

// Guards against requests that a node with older routes than others bounces for as long as it has them.
TEST_CASE("requests that only newer routes allow are served once the node beside the upstream has them")
{
    ThreeServices deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.waitUntil([&] { return deployment.catalog.readerCount() == 1; }));
        // The ingress has the newer routes, and the node beside the upstream the older ones.
        deployment.catalog.moreRoutes = routeTo("left", "target") + routeTo("right", "target");
        deployment.catalog.publishRoutesOnlyTo(deployment.reader(), 11);
        checkStatus(co_await deployment.sendToOlder("after"), 200);
    });
    CHECK(deployment.target.totalRuns() == 1);
}

// Guards against a request that reaches the service to which its route was moved without its body.
TEST_CASE("a request that is placed anew has its body")
{
    ThreeServices deployment;
    deployment.run([&]() -> asio::awaitable<void> {
        checkHappened(co_await deployment.waitUntil([&] { return deployment.catalog.readerCount() == 1; }));
        deployment.catalog.moreRoutes = routeTo("left", "target") + routeTo("right", "target");
        deployment.catalog.publishRoutesOnlyTo(deployment.follower(), 11);
        const Endpoint ingress = deployment.nodes[deployment.reader()]->callers;
        const Reply reply =
            co_await deployment.send(ingress, "POST", deployment.path(), "after", Milliseconds(1000), "the body");
        checkStatus(reply, 200);
        CHECK(reply.body == "i-target:POST:" + deployment.path() + ":the body");
    });
}

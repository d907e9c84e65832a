#include <string>

#include <catch2/catch.hpp>

#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

// Guards against a node that sends all requests of a split route to one part while the list of upstreams changes often.
TEST_CASE("a split goes on from where it was when the list of upstreams changes")
{
    SidecarFixture fixture;
    FakeUpstream &one = fixture.addUpstream("i-one");
    FakeUpstream &two = fixture.addUpstream("i-two");
    const TestNode &node = fixture.addNode(one, "one");
    fixture.addNode(two, "two");
    FakeUpstream &other = fixture.addUpstream("i-other");
    fixture.addNode(other, "other");
    fixture.catalog.moreRoutes = R"({"name":"both","kind":"safe","target_latency":"300ms","priority":2,)"
                                 R"("match":{"prefix":"/both/"},"action":{"traffic_split":[{"service":"one",)"
                                 R"("weight":1},{"service":"two","weight":1}],"timeout":"800ms"}},)";
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    constexpr int Requests = 10;
    fixture.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < Requests; ++number) {
            const Reply reply = co_await fixture.send(node.callers, "GET", "/both/1", "r" + std::to_string(number));
            CHECK(reply.status == 200);
            // Another upstream, which takes none of these requests, comes and goes.
            fixture.catalog.add(other, node.peers, "other");
            fixture.catalog.publishList();
        }
    });
    CHECK(one.totalRuns() == Requests / 2);
    CHECK(two.totalRuns() == Requests / 2);
}

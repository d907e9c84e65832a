#include <string>

#include <catch2/catch.hpp>

#include "deployment.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

// Guards against callers whose connection is reset without a word at the end of a stop, also where nothing has run.
TEST_CASE("requests that the end of a process cuts are answered, as not run where that is true")
{
    SidecarFixture fixture;
    FakeUpstream &slow = fixture.addUpstream("i-slow");
    slow.runDuration = Milliseconds(4000);
    TestNode &node = fixture.addNode(fixture.addUpstream("i-other"), "other");
    fixture.addNode(slow, "statements");
    fixture.catalog.moreRoutes = R"({"name":"order","kind":"unsafe","target_latency":"100ms","priority":2,)"
                                 R"("match":{"prefix":"/order/"},"action":{"service":"statements",)"
                                 R"("timeout":"9000ms","max_attempts":1}},)";
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    constexpr int Orders = 30;
    int answered = 0;
    fixture.run([&]() -> asio::awaitable<void> {
        for (int number = 0; number < Orders; ++number) {
            fixture.start([&fixture, &node, &slow, &answered, number]() -> asio::awaitable<void> {
                const std::string id = "r" + std::to_string(number);
                const Reply reply = co_await fixture.send(node.callers, "POST", "/order/1", id, Milliseconds(9000));
                INFO(id << " got " << reply.status);
                CHECK((reply.status == 502 || reply.status == 503));
                CHECK((reply.status != 503 || slow.runs(id) == 0));
                ++answered;
            });
        }
        co_await fixture.sleep(Milliseconds(200));
        node.sidecar->stop();
        const bool areAnswered = co_await fixture.waitUntil([&] { return answered == Orders; });
        CHECK(areAnswered);
        CHECK(slow.totalRuns() > 0);
        CHECK(slow.totalRuns() < Orders);
    });
}

#include <string>
#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <catch2/catch.hpp>

#include "rpc/peerservice.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// How long the node may run on after it was asked to stop, by the settings of the fixture.
constexpr Milliseconds Grace{1200};

/// A node that keeps each call for a while and then refuses it, since it stops.
class HesitantPeer final : public PeerService
{
public:
    asio::awaitable<CallOutcome> call(CallHead /*head*/, std::string /*body*/,
                                      std::shared_ptr<AnswerReceiver> /*answer*/,
                                      std::shared_ptr<Cancellation> /*cancellation*/) override
    {
        ++calls;
        asio::steady_timer timer(co_await asio::this_coro::executor, Grace / 2);
        co_await timer.async_wait(asio::use_awaitable);
        CallOutcome outcome;
        outcome.result = notRun(Reason::Draining, "the node beside the upstream stops");
        co_return outcome;
    }
    asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> /*body*/,
                                              std::shared_ptr<AnswerReceiver> answer,
                                              std::shared_ptr<Cancellation> cancellation) override
    {
        co_return co_await call(std::move(head), std::string(), std::move(answer), std::move(cancellation));
    }
    PeerProbe probe() override { return {}; }
    asio::awaitable<Catalog> catalog(CatalogRequest /*request*/) override { co_return Catalog(); }
    QuarantineUpdate quarantine(const QuarantineUpdate & /*update*/) override { return {}; }

    int calls = 0;
};

}

// Guards against an order that is passed on late in a stop, since it was taken long before, and cut while it runs.
TEST_CASE("an order whose first try is refused late in a stop is refused, not passed on to be cut")
{
    HesitantPeer peer;
    SidecarFixture fixture;
    TestNode &node = fixture.addNode(fixture.addUpstream("i-other"), "other");
    FakeUpstream &slow = fixture.addUpstream("i-slow");
    slow.runDuration = Grace;
    fixture.catalog.add(fixture.addUpstream("i-hesitant"), fixture.addPeer(peer), "statements");
    fixture.catalog.moreRoutes = R"({"name":"order","kind":"unsafe","target_latency":"100ms","priority":2,)"
                                 R"("match":{"prefix":"/order/"},"action":{"service":"statements",)"
                                 R"("timeout":"9000ms","max_attempts":3}},)";
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    fixture.run([&]() -> asio::awaitable<void> {
        bool isAnswered = false;
        fixture.start([&]() -> asio::awaitable<void> {
            const Reply reply = co_await fixture.send(node.callers, "POST", "/order/1", "r1", Milliseconds(9000));
            CHECK(reply.status == 503);
            CHECK(reply.headers.contains("Retry-After"));
            isAnswered = true;
        });
        const bool isCalled = co_await fixture.waitUntil([&] { return peer.calls > 0; });
        REQUIRE(isCalled);
        fixture.addNode(slow, "statements");
        fixture.catalog.publishList();
        node.sidecar->stop();
        const bool hasEnded = co_await fixture.waitUntil([&] { return isAnswered; });
        CHECK(hasEnded);
        CHECK(slow.runs("r1") == 0);
    });
}

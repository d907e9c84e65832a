#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "endlessupstream.h"
#include "rpc/peerservice.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

/// A node that passes on any head, as one of an earlier version may.
class OddPeer final : public PeerService
{
public:
    asio::awaitable<CallOutcome> call(CallHead /*head*/, std::string /*body*/, std::shared_ptr<AnswerReceiver> answer,
                                      std::shared_ptr<Cancellation> /*cancellation*/) override
    {
        CallOutcome outcome;
        ++calls;
        if (failure) {
            outcome.result = *failure;
            co_return outcome;
        }
        if (!isStreamed) {
            outcome.result = CompleteAnswer{answerHead, "odd"};
            co_return outcome;
        }
        const bool isTaken =
            co_await answer->begin(answerHead) && co_await answer->write("odd") && co_await answer->end();
        if (!isTaken) {
            outcome.result = mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
        }
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

    AnswerHead answerHead;
    bool isStreamed = false;
    /// What each call gets instead of an answer.
    std::optional<Failure> failure;
    int calls = 0;
};

/// A node that takes requests, and a route to an upstream beside an odd node.
struct OddDeployment : SidecarFixture
{
    explicit OddDeployment(OddPeer &peer)
        : node(addNode(addUpstream("i-other"), "other"))
    {
        catalog.add(addEndlessUpstream("i-odd", {}), addPeer(peer), "statements");
        catalog.moreRoutes = R"({"name":"odd","kind":"unsafe","target_latency":"100ms","priority":2,)"
                             R"("match":{"prefix":"/odd/"},"action":{"service":"statements",)"
                             R"("timeout":"900ms","max_attempts":2}},)";
        catalog.publishRoutes(10);
        catalog.publishList();
    }

    TestNode &node;
};

}

TEST_CASE("an odd head that another node passes on is a failure for the caller")
{
    OddPeer peer;
    OddDeployment deployment(peer);
    peer.isStreamed = GENERATE(false, true);
    deployment.run([&]() -> asio::awaitable<void> {
        for (const std::uint16_t status : {0, 99, 100, 103, 199, 600, 700, 65535}) {
            peer.answerHead = AnswerHead{status, {}};
            const Reply reply = co_await deployment.send(deployment.node.callers, "POST", "/odd/1", "a1");
            INFO("status " << status);
            CHECK(reply.status == 502);
            CHECK(reply.headers.find("X-Egretpath-Attempt-Id") == "a1");
        }
        for (const std::string name : {"X Odd", "X\tOdd", "X\x01Odd", "", "X-Odd:", "X\r\nY"}) {
            peer.answerHead = AnswerHead{200, {}};
            peer.answerHead.headers.add(name, "1");
            const Reply reply = co_await deployment.send(deployment.node.callers, "POST", "/odd/1", "a1");
            INFO("name " << name);
            CHECK(reply.status == 502);
        }
    });
}

// A node without memory for a body says so at once, however often it is asked.
TEST_CASE("a request that its only node declines is refused after few tries")
{
    OddPeer peer;
    OddDeployment deployment(peer);
    peer.failure = notRun(Reason::Declined, "the node holds too many bodies", Milliseconds(200));
    deployment.run([&]() -> asio::awaitable<void> {
        const Reply reply = co_await deployment.send(deployment.node.callers, "POST", "/odd/1", "a1");
        CHECK(reply.status == 503);
        CHECK(reply.headers.contains("Retry-After"));
        CHECK(peer.calls <= 8);
    });
}

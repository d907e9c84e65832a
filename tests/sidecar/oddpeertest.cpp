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
};

}

TEST_CASE("an odd head that another node passes on is a failure for the caller")
{
    OddPeer peer;
    SidecarFixture deployment;
    peer.isStreamed = GENERATE(false, true);
    TestNode &node = deployment.addNode(deployment.addUpstream("i-other"), "other");
    deployment.catalog.add(deployment.addEndlessUpstream("i-odd", {}), deployment.addPeer(peer), "statements");
    deployment.catalog.moreRoutes = R"({"name":"odd","kind":"unsafe","target_latency":"100ms","priority":2,)"
                                    R"("match":{"prefix":"/odd/"},"action":{"service":"statements",)"
                                    R"("timeout":"900ms","max_attempts":2}},)";
    deployment.catalog.publishRoutes(10);
    deployment.catalog.publishList();
    deployment.run([&]() -> asio::awaitable<void> {
        for (const std::uint16_t status : {0, 99, 100, 103, 199, 600, 700, 65535}) {
            peer.answerHead = AnswerHead{status, {}};
            const Reply reply = co_await deployment.send(node.callers, "POST", "/odd/1", "a1");
            INFO("status " << status);
            CHECK(reply.status == 502);
            CHECK(reply.headers.find("X-Egretpath-Attempt-Id") == "a1");
        }
        for (const std::string name : {"X Odd", "X\tOdd", "X\x01Odd", "", "X-Odd:", "X\r\nY"}) {
            peer.answerHead = AnswerHead{200, {}};
            peer.answerHead.headers.add(name, "1");
            const Reply reply = co_await deployment.send(node.callers, "POST", "/odd/1", "a1");
            INFO("name " << name);
            CHECK(reply.status == 502);
        }
    });
}

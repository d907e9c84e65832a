#include <catch2/catch.hpp>

#include <string>

#include "core/currenttime.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

constexpr double LinkMbps = 60.0;

std::string bodyOf(std::size_t size)
{
    std::string body;
    while (body.size() < size) {
        body += std::to_string(body.size()) + ",";
    }
    return body;
}

/// Sends @p body through one node to an upstream beside another node. The upstream sends it back. Returns how long that
/// took. The rates of the nodes' links are in Mbit/s; 0: the node does not know its rate.
Duration timeOfEcho(double ingressRate, double egressRate, const std::string &body)
{
    SidecarFixture fixture;
    FakeUpstream &own = fixture.addUpstream("i-1");
    FakeUpstream &remote = fixture.addUpstream("i-2");
    fixture.linkMbps = ingressRate;
    const TestNode &ingress = fixture.addNode(own, "other");
    fixture.linkMbps = egressRate;
    fixture.addNode(remote, "statements");
    fixture.catalog.publishRoutes(10);
    fixture.catalog.publishList();
    Duration duration{0};
    fixture.run([&]() -> asio::awaitable<void> {
        const TimePoint begin = currentTime();
        const Reply reply = co_await fixture.send(ingress.callers, "POST", "/pay/7", "r1", Milliseconds(5000), body);
        duration = currentTime() - begin;
        CHECK(reply.status == 200);
        CHECK(reply.body.ends_with(":POST:/pay/7:" + body));
    });
    return duration;
}

}

// Guards against answers that change on the way because they are written in chunks, and against writes that are not
// paced.
TEST_CASE("a complete answer is sent to its caller at the rate of the link")
{
    // 400 KB at 54 Mbit/s take 59 ms.
    CHECK(timeOfEcho(LinkMbps, 0.0, bodyOf(400'000)) > Milliseconds(50));
}

TEST_CASE("a streamed answer is sent to the other node and to its caller at the rates of their links")
{
    const std::string body = bodyOf(1'300'000);
    // 1.3 MB at 54 Mbit/s take 193 ms.
    CHECK(timeOfEcho(LinkMbps, 0.0, body) > Milliseconds(170));
    CHECK(timeOfEcho(0.0, LinkMbps, body) > Milliseconds(170));
}

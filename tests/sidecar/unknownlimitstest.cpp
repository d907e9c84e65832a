#include <string>

#include <catch2/catch.hpp>

#include "../http/rawconnection.h"
#include "sidecarfixture.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const std::string Start = "POST /read/1 HTTP/1.1\r\nHost: h\r\nX-Egretpath-Attempt-Id: early\r\n";

}

// Guards against a final refusal, by limits that no operator has set, of what the first config allows.
TEST_CASE("a node without a config refuses large heads and bodies for now, not for good")
{
    const std::string request = GENERATE(as<std::string>(), Start + "X-Large: " + std::string(30'000, 'h') + "\r\n\r\n",
                                         Start + "Content-Length: 99999999\r\n\r\n");
    SidecarFixture fixture;
    fixture.catalog.isUnreachable = true;
    const TestNode &node = fixture.addNode(fixture.addUpstream("i-1"), "statements");
    fixture.run([&]() -> asio::awaitable<void> {
        RawConnection caller(co_await asio::this_coro::executor);
        co_await caller.connect(node.callers);
        co_await caller.send(request);
        const std::string answer = co_await caller.receiveUntil("\r\n\r\n");
        CHECK(answer.starts_with("HTTP/1.1 503"));
    });
}

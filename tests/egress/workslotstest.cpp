#include "egress/workslots.h"

#include <optional>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <catch2/catch.hpp>

#include "core/currenttime.h"
#include "eventloop.h"

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

const UpstreamName Target("i-1");

WorkOffer offerOf(std::uint64_t call)
{
    WorkOffer offer;
    offer.call = CallId(call);
    offer.route = RouteName("pay");
    offer.deadline = currentTime() + Milliseconds(2000);
    offer.target = offer.deadline;
    return offer;
}

}

// Guards against a request that was cancelled on its way to the queue and then waits for ever, with its body.
TEST_CASE("a request that is cancelled before it waits for a slot does not wait")
{
    EventLoop loop;
    WorkSlots slots(loop.executor());
    slots.setSlots(1);
    const auto cancelled = std::make_shared<Cancellation>();
    cancelled->cancel();
    std::optional<std::optional<Failure>> ended;
    loop.run([&]() -> asio::awaitable<void> {
        const auto running = co_await slots.acquire(offerOf(1), Target, std::make_shared<Cancellation>());
        REQUIRE_FALSE(running);
        asio::co_spawn(
            loop.executor(),
            [&]() -> asio::awaitable<void> { ended = co_await slots.acquire(offerOf(2), Target, cancelled); },
            asio::detached);
        co_await loop.sleep(Milliseconds(20));
        slots.release(CallId(1), true);
        co_await loop.sleep(Milliseconds(20));
    });
    REQUIRE(ended);
    REQUIRE(*ended);
    CHECK((*ended)->reason == Reason::Cancelled);
    CHECK((*ended)->verdict == Verdict::NotRun);
}

#include "node/egressslots.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace Egretpath;
namespace asio = boost::asio;

namespace
{

TimePoint after(Milliseconds duration)
{
    return std::chrono::steady_clock::now() + duration;
}

/// One upstream slot with one place in the queue.
struct Fixture
{
    std::shared_ptr<Cancellation> acquire(std::uint64_t call, Milliseconds limit)
    {
        auto cancellation = std::make_shared<Cancellation>();
        asio::co_spawn(context, record(CallId(call), after(limit), cancellation), asio::detached);
        poll();
        return cancellation;
    }

    void poll()
    {
        context.restart();
        context.poll();
    }

    asio::awaitable<void> record(CallId call, TimePoint deadline, std::shared_ptr<Cancellation> cancellation)
    {
        outcomes[call] = co_await slots.acquire(call, CallClass::Lookup, deadline, cancellation);
    }

    [[nodiscard]] bool started(std::uint64_t call) const
    {
        const auto found = outcomes.find(CallId(call));
        return found != outcomes.end() && !found->second;
    }

    [[nodiscard]] std::optional<Failure> failure(std::uint64_t call) const
    {
        const auto found = outcomes.find(CallId(call));
        return found == outcomes.end() ? std::nullopt : found->second;
    }

    asio::io_context context;
    EgressSlots slots{context.get_executor(), AdmissionCaps{1, 1}};
    std::unordered_map<CallId, std::optional<Failure>> outcomes;
};

}

TEST_CASE("a queued call starts when the slot is given back")
{
    Fixture fixture;
    fixture.acquire(1, Milliseconds(1000));
    fixture.acquire(2, Milliseconds(1000));
    CHECK(fixture.started(1));
    CHECK_FALSE(fixture.started(2));
    fixture.slots.release(CallId(1), true);
    fixture.poll();
    CHECK(fixture.started(2));
    fixture.slots.release(CallId(2), true);
}

TEST_CASE("a call that finds no place is refused at once as not run")
{
    Fixture fixture;
    fixture.acquire(1, Milliseconds(1000));
    fixture.acquire(2, Milliseconds(1000));
    fixture.acquire(3, Milliseconds(1000));
    REQUIRE(fixture.failure(3).has_value());
    CHECK(fixture.failure(3)->verdict == Verdict::NotRun);
    CHECK(fixture.failure(3)->reason == Reason::Overloaded);
}

TEST_CASE("a queued call whose caller leaves gives its place up")
{
    // The caller closes while its call waits for a slot; the place must go to the next call, and the call that left
    // must never be handed to the upstream.
    Fixture fixture;
    fixture.acquire(1, Milliseconds(1000));
    const auto cancellation = fixture.acquire(2, Milliseconds(1000));
    cancellation->cancel();
    fixture.poll();
    REQUIRE(fixture.failure(2).has_value());
    CHECK(fixture.failure(2)->verdict == Verdict::NotRun);
    fixture.acquire(3, Milliseconds(1000));
    fixture.slots.release(CallId(1), true);
    fixture.poll();
    CHECK(fixture.started(3));
}

TEST_CASE("a queued call is refused when its deadline comes, not later")
{
    Fixture fixture;
    fixture.acquire(1, Milliseconds(1000));
    fixture.acquire(2, Milliseconds(30));
    fixture.context.restart();
    fixture.context.run_for(std::chrono::milliseconds(200));
    REQUIRE(fixture.failure(2).has_value());
    CHECK(fixture.failure(2)->verdict == Verdict::NotRun);
    CHECK(fixture.failure(2)->reason == Reason::DeadlinePassed);
}

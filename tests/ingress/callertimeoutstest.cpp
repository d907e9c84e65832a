#include "ingress/callertimeouts.h"

#include <random>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const RouteName Read("read");

}

// Guards against retries that are treated like first attempts. A read is refused in a burst and retried after a second.
// If it then went before reads that could still be answered in time, both would be late.
TEST_CASE("a retry is recognized by the smaller timeout that its caller has left")
{
    CallerTimeouts timeouts;
    for (int count = 0; count < 10; ++count) {
        CHECK(timeouts.record(Read, Milliseconds(2000)) == Milliseconds(0));
    }
    CHECK(timeouts.record(Read, Milliseconds(1100)) == Milliseconds(900));
    CHECK(timeouts.record(Read, Milliseconds(2000)) == Milliseconds(0));
    CHECK(timeouts.typical(Read) == Milliseconds(2000));
    CHECK(timeouts.record(RouteName("other"), Milliseconds(100)) == Milliseconds(0));
}

// Guards against one caller that waits for an hour. If the longest timeout were the typical one, all other requests
// would count as retries.
TEST_CASE("a single caller with a very long timeout does not make other requests count as retries")
{
    CallerTimeouts timeouts;
    for (int count = 0; count < 10; ++count) {
        (void)timeouts.record(Read, Milliseconds(2000));
    }
    CHECK(timeouts.record(Read, Milliseconds(3'600'000)) == Milliseconds(0));
    CHECK(timeouts.record(Read, Milliseconds(2000)) == Milliseconds(0));
}

TEST_CASE("the typical timeout follows a change of the timeout that callers send")
{
    CallerTimeouts timeouts;
    for (int count = 0; count < 50; ++count) {
        (void)timeouts.record(Read, Milliseconds(2000));
    }
    for (int count = 0; count < 100; ++count) {
        (void)timeouts.record(Read, Milliseconds(500));
    }
    CHECK(timeouts.typical(Read) == Milliseconds(500));
    CHECK(timeouts.record(Read, Milliseconds(500)) == Milliseconds(0));
}

// Guards against callers that send ever new values. Only a limited number of values is stored, so that they don't fill
// the memory, and the typical value must not be lost among them.
TEST_CASE("the typical timeout is found among many different values that are seen once each")
{
    CallerTimeouts timeouts;
    for (int count = 0; count < 2000; ++count) {
        (void)timeouts.record(Read, Milliseconds(10 + count));
        (void)timeouts.record(Read, Milliseconds(2500));
    }
    CHECK(timeouts.typical(Read) == Milliseconds(2500));
}

// Guards against first attempts that count as retries because callers start with different timeouts. Of a target of
// 100 ms nothing would be left, and the most urgent requests would be queued and placed as if they were late.
TEST_CASE("first attempts whose timeouts are up to a fifth apart do not count as retries")
{
    CallerTimeouts timeouts;
    std::minstd_rand random(1);
    std::uniform_int_distribution<int> spread(850, 1000);
    for (int count = 0; count < 1000; ++count) {
        const Milliseconds elapsed = timeouts.record(Read, Milliseconds(spread(random)));
        CHECK(elapsed == Milliseconds(0));
    }
    CHECK(timeouts.typical(Read) >= Milliseconds(950));
    const Milliseconds elapsed = timeouts.record(Read, Milliseconds(500));
    CHECK(elapsed >= Milliseconds(350));
    CHECK(elapsed <= Milliseconds(500));
}

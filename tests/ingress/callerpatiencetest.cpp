#include "ingress/callerpatience.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const RouteName Read("read");

}

// Guards against retries that are treated like first attempts. A read is refused in a burst and retried after a second.
// If it then went before reads that could still be answered in time, both would be late.
TEST_CASE("a retry is recognized by the smaller patience that its caller has left")
{
    CallerPatience patience;
    for (int count = 0; count < 10; ++count) {
        CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
    }
    CHECK(patience.record(Read, Milliseconds(1100)) == Milliseconds(900));
    CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
    CHECK(patience.typical(Read) == Milliseconds(2000));
    CHECK(patience.record(RouteName("other"), Milliseconds(100)) == Milliseconds(0));
}

// Guards against one caller that waits for an hour. If the longest patience were the typical one, all other requests
// would count as retries.
TEST_CASE("a single caller with a very long patience does not make other requests count as retries")
{
    CallerPatience patience;
    for (int count = 0; count < 10; ++count) {
        (void)patience.record(Read, Milliseconds(2000));
    }
    CHECK(patience.record(Read, Milliseconds(3'600'000)) == Milliseconds(0));
    CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
}

TEST_CASE("the typical patience follows a change of the patience that callers send")
{
    CallerPatience patience;
    for (int count = 0; count < 50; ++count) {
        (void)patience.record(Read, Milliseconds(2000));
    }
    for (int count = 0; count < 100; ++count) {
        (void)patience.record(Read, Milliseconds(500));
    }
    CHECK(patience.typical(Read) == Milliseconds(500));
    CHECK(patience.record(Read, Milliseconds(500)) == Milliseconds(0));
}

// Guards against callers that send ever new values. Only a limited number of values is stored, so that they don't fill
// the memory, and the typical value must not be lost among them.
TEST_CASE("the typical patience is found among many different values that are seen once each")
{
    CallerPatience patience;
    for (int count = 0; count < 2000; ++count) {
        (void)patience.record(Read, Milliseconds(10 + count));
        (void)patience.record(Read, Milliseconds(2500));
    }
    CHECK(patience.typical(Read) == Milliseconds(2500));
}

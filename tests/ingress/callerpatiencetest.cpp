#include "ingress/callerpatience.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const RouteName Read("read");

}

// A read is refused in a burst and comes back after a second. Taken for a fresh one it went before reads that could
// still be answered in time, and both were late.
TEST_CASE("a caller that came back is told from a first attempt by what is left of its patience")
{
    CallerPatience patience;
    for (int count = 0; count < 10; ++count) {
        CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
    }
    CHECK(patience.record(Read, Milliseconds(1100)) == Milliseconds(900));
    CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
    CHECK(patience.usual(Read) == Milliseconds(2000));
    CHECK(patience.record(RouteName("other"), Milliseconds(100)) == Milliseconds(0));
}

// One caller says that it waits for an hour. If the longest patience counted, all others would look old.
TEST_CASE("a caller of unusual patience makes no others look old")
{
    CallerPatience patience;
    for (int count = 0; count < 10; ++count) {
        (void)patience.record(Read, Milliseconds(2000));
    }
    CHECK(patience.record(Read, Milliseconds(3'600'000)) == Milliseconds(0));
    CHECK(patience.record(Read, Milliseconds(2000)) == Milliseconds(0));
}

TEST_CASE("a patience that operators or callers changed is learned")
{
    CallerPatience patience;
    for (int count = 0; count < 50; ++count) {
        (void)patience.record(Read, Milliseconds(2000));
    }
    for (int count = 0; count < 100; ++count) {
        (void)patience.record(Read, Milliseconds(500));
    }
    CHECK(patience.usual(Read) == Milliseconds(500));
    CHECK(patience.record(Read, Milliseconds(500)) == Milliseconds(0));
}

TEST_CASE("values without end take no memory without end, and hide the usual one no more than briefly")
{
    CallerPatience patience;
    for (int count = 0; count < 2000; ++count) {
        (void)patience.record(Read, Milliseconds(10 + count));
        (void)patience.record(Read, Milliseconds(2500));
    }
    CHECK(patience.usual(Read) == Milliseconds(2500));
}

#include "instances/catalogtimes.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

// Guards against one wait that is lengthened without the others, so that changes arrive late when a node on their path
// is dead.
TEST_CASE("a change reaches all nodes within its bound while a node on its path is dead")
{
    /// Half of the users' bound, so that a second fault leaves room.
    constexpr Milliseconds SmallFleetBound{1000};
    constexpr Milliseconds LargeFleetBound{3000};
    // A region of six nodes with a table of some ten routes.
    PropagationPath small;
    small.steps = 2;
    small.step = Milliseconds(10);
    small.read = Milliseconds(50);
    PropagationPath large;
    large.steps = 3;
    // A table of 4,200 routes on a link of 10 Mbit/s.
    large.read = Milliseconds(900);
    CHECK(maxPropagationTime(CatalogTimes(), small) <= SmallFleetBound);
    CHECK(maxPropagationTime(CatalogTimes(), large) <= LargeFleetBound);
}

TEST_CASE("the last node of a deep tree counts the store as available for as long as its reader reads it")
{
    constexpr int MaxTreeDepth = 4;
    const CatalogTimes times;
    CHECK(times.followWait * MaxTreeDepth < times.maxReportAge);
}

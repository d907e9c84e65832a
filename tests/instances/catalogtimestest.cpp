#include "instances/catalogtimes.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

// Guards against a wait that is lengthened alone, so that changes come late where a node on their way is dead.
TEST_CASE("a change is everywhere within its bound while a node on its way is dead")
{
    constexpr Milliseconds SmallFleetBound{2000};
    constexpr Milliseconds LargeFleetBound{3000};
    CatalogWay small;
    CatalogWay large;
    large.steps = 3;
    CHECK(longestWay(CatalogTimes(), small) <= SmallFleetBound);
    CHECK(longestWay(CatalogTimes(), large) <= LargeFleetBound);
}

TEST_CASE("the last node of a deep tree believes that the store is in order for as long as its reader reads it")
{
    constexpr int DeepestTree = 4;
    const CatalogTimes times;
    CHECK(times.followWait * DeepestTree < times.provenFor);
}

#include "soak/disturbances.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr Milliseconds Settle{3000};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("a part is calm when nothing hit it from the settle time before")
{
    Disturbances disturbances(Settle);
    disturbances.begin(1, Disturbance::Unplanned, at(0));
    CHECK_FALSE(disturbances.isCalm(1, Disturbance::Unplanned, at(10), at(20)));
    disturbances.end(1, Disturbance::Unplanned, at(100));
    CHECK_FALSE(disturbances.isCalm(1, Disturbance::Unplanned, at(3000), at(3050)));
    CHECK(disturbances.isCalm(1, Disturbance::Unplanned, at(3200), at(3300)));
    CHECK(disturbances.isCalm(2, Disturbance::Unplanned, at(10), at(20)));
    CHECK(disturbances.isCalm(1, Disturbance::Store, at(10), at(20)));
}

TEST_CASE("what hits all nodes hits each of them")
{
    Disturbances disturbances(Settle);
    disturbances.begin(AllNodes, Disturbance::Store, at(0));
    CHECK_FALSE(disturbances.isCalm(4, Disturbance::Store, at(10), at(20)));
}

TEST_CASE("faults of one kind that overlap end with the last of them")
{
    Disturbances disturbances(Settle);
    disturbances.begin(1, Disturbance::Upstream, at(0));
    disturbances.begin(1, Disturbance::Upstream, at(50));
    disturbances.end(1, Disturbance::Upstream, at(100));
    CHECK_FALSE(disturbances.isCalm(1, Disturbance::Upstream, at(9000), at(9010)));
    disturbances.end(1, Disturbance::Upstream, at(9020));
    CHECK(disturbances.isCalm(1, Disturbance::Upstream, at(12'100), at(12'200)));
}

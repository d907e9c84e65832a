#include "soak/stallwatch.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("a step that is late by a quarter of a second is a stall, which hits all nodes")
{
    Disturbances disturbances(Milliseconds(3000));
    StallWatch watch(disturbances);
    watch.noteAwake(at(0));
    watch.noteAwake(at(260));
    CHECK(watch.stalls() == 0);
    CHECK(watch.longest() == Milliseconds(240));
    CHECK(disturbances.isCalm(3, Disturbance::Unplanned, at(0), at(260)));
    watch.noteAwake(at(600));
    CHECK(watch.stalls() == 1);
    CHECK(watch.longest() == Milliseconds(320));
    CHECK_FALSE(disturbances.isCalm(3, Disturbance::Unplanned, at(500), at(550)));
    CHECK(disturbances.isCalm(3, Disturbance::Unplanned, at(3700), at(3800)));
}

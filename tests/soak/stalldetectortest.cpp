#include "soak/stalldetector.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("activity that is late by more than a quarter of a second is a stall and counts as a fault of all nodes")
{
    FaultHistory faultHistory(Milliseconds(3000));
    StallDetector detector(faultHistory);
    detector.recordActivity(at(0));
    detector.recordActivity(at(260));
    CHECK(detector.stallCount() == 0);
    CHECK(detector.longestDelay() == Milliseconds(240));
    CHECK(faultHistory.isFaultFree(3, FaultCategory::Unplanned, at(0), at(260)));
    detector.recordActivity(at(600));
    CHECK(detector.stallCount() == 1);
    CHECK(detector.longestDelay() == Milliseconds(320));
    CHECK_FALSE(faultHistory.isFaultFree(3, FaultCategory::Unplanned, at(500), at(550)));
    CHECK(faultHistory.isFaultFree(3, FaultCategory::Unplanned, at(3700), at(3800)));
}

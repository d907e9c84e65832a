#include "soak/faulthistory.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr Milliseconds SettleTime{3000};

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("a node is fault-free if no fault hit it in the interval or in the settle time before")
{
    FaultHistory faultHistory(SettleTime);
    faultHistory.begin(1, FaultCategory::Unplanned, at(0));
    CHECK_FALSE(faultHistory.isFaultFree(1, FaultCategory::Unplanned, at(10), at(20)));
    faultHistory.end(1, FaultCategory::Unplanned, at(100));
    CHECK_FALSE(faultHistory.isFaultFree(1, FaultCategory::Unplanned, at(3000), at(3050)));
    CHECK(faultHistory.isFaultFree(1, FaultCategory::Unplanned, at(3200), at(3300)));
    CHECK(faultHistory.isFaultFree(2, FaultCategory::Unplanned, at(10), at(20)));
    CHECK(faultHistory.isFaultFree(1, FaultCategory::Store, at(10), at(20)));
}

TEST_CASE("a fault of all nodes counts for each node")
{
    FaultHistory faultHistory(SettleTime);
    faultHistory.begin(AllNodes, FaultCategory::Store, at(0));
    CHECK_FALSE(faultHistory.isFaultFree(4, FaultCategory::Store, at(10), at(20)));
}

TEST_CASE("overlapping faults of one category end with the last of them")
{
    FaultHistory faultHistory(SettleTime);
    faultHistory.begin(1, FaultCategory::Upstream, at(0));
    faultHistory.begin(1, FaultCategory::Upstream, at(50));
    faultHistory.end(1, FaultCategory::Upstream, at(100));
    CHECK_FALSE(faultHistory.isFaultFree(1, FaultCategory::Upstream, at(9000), at(9010)));
    faultHistory.end(1, FaultCategory::Upstream, at(9020));
    CHECK(faultHistory.isFaultFree(1, FaultCategory::Upstream, at(12'100), at(12'200)));
}

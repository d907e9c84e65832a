#include "admission/vmslowdown.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("a VM without samples has no slowdown")
{
    const VmSlowdown slowdown;
    CHECK(slowdown.factor() == 1.0);
    CHECK(slowdown.slowPeriodLeft(at(0)) == Duration{0});
    CHECK(slowdown.baselineTimeBetween(at(0), at(50)) == Milliseconds(50));
}

TEST_CASE("the length of slow periods is learned")
{
    VmSlowdown slowdown;
    for (int round = 0; round < 60; ++round) {
        const int begin = round * 3000;
        slowdown.record(1.0, at(begin));
        for (int time = 0; time <= 600; time += 50) {
            slowdown.record(4.0, at(begin + 50 + time));
        }
        slowdown.record(1.0, at(begin + 700));
    }
    slowdown.record(4.0, at(200'000));
    CHECK(slowdown.slowPeriodLeft(at(200'000)) > Milliseconds(600));
    CHECK(slowdown.slowPeriodLeft(at(200'000)) < Milliseconds(700));
    CHECK(slowdown.recoveredSlowdown(at(200'000)) == 1.0);
}

// Guards against counting a gap between samples as a slow period. No sample was recorded for seconds, and the slow
// period may have ended at any time in between.
TEST_CASE("a slow period whose end was not observed does not change the mean length")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    slowdown.record(4.0, at(50));
    const Duration before = slowdown.slowPeriodLeft(at(50));
    slowdown.record(1.0, at(9000));
    slowdown.record(4.0, at(9050));
    CHECK(slowdown.slowPeriodLeft(at(9050)) == before);
}

// An upstream that has just started is twice as slow for seconds, and its VM has slow periods in addition. Only the
// slow periods may be detected as such.
TEST_CASE("slow periods are detected relative to the lowest recent slowdown")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    for (int time = 50; time <= 1200; time += 50) {
        slowdown.record(2.0, at(time));
    }
    CHECK(slowdown.slowPeriodLeft(at(1200)) == Duration{0});
    slowdown.record(8.0, at(1250));
    CHECK(slowdown.slowPeriodLeft(at(1250)) > Duration{0});
    CHECK(slowdown.recoveredSlowdown(at(1250)) == 2.0);
}

TEST_CASE("the baseline time of work is computed from the slowdowns throughout the work")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    slowdown.record(4.0, at(100));
    slowdown.record(1.0, at(300));
    CHECK(slowdown.baselineTimeBetween(at(50), at(400)) == Milliseconds(50 + 50 + 100));
    CHECK(slowdown.baselineTimeBetween(at(350), at(400)) == Milliseconds(50));
}

// Guards against work that starts in a slow period because the node has just started and has no earlier sample of its
// VM. The "pace" in the title is the slowdown of the VM, and a "slow spell" is a slow period.
TEST_CASE("the first pace that is seen is a slow spell if it is far from what a start explains")
{
    VmSlowdown slow;
    slow.record(8.0, at(0));
    CHECK(slow.slowPeriodLeft(at(0)) > Duration{0});
    CHECK(slow.recoveredSlowdown(at(0)) == 2.0);
    VmSlowdown started;
    started.record(2.0, at(0));
    CHECK(started.slowPeriodLeft(at(0)) == Duration{0});
    CHECK(started.recoveredSlowdown(at(0)) == 2.0);
}

TEST_CASE("a VM that stays slow is not in a slow period, even if it was never seen faster")
{
    VmSlowdown slowdown;
    for (int time = 0; time <= 2000; time += 50) {
        slowdown.record(4.0, at(time));
    }
    CHECK(slowdown.recoveredSlowdown(at(2000)) == 4.0);
    CHECK(slowdown.slowPeriodLeft(at(2000)) == Duration{0});
}

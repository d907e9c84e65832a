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

TEST_CASE("a VM that was never looked at runs at the usual pace")
{
    const VmSlowdown slowdown;
    CHECK(slowdown.factor() == 1.0);
    CHECK(slowdown.slowPeriodLeft(at(0)) == Duration{0});
    CHECK(slowdown.baselineTimeBetween(at(0), at(50)) == Milliseconds(50));
}

TEST_CASE("the length of slow spells is learned")
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
    CHECK(slowdown.afterSlowPeriod(at(200'000)) == 1.0);
}

// Nobody looked at the VM for seconds. The spell may have ended long ago, and its length must not be taken for seconds.
TEST_CASE("a spell whose end was not seen does not count")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    slowdown.record(4.0, at(50));
    const Duration before = slowdown.slowPeriodLeft(at(50));
    slowdown.record(1.0, at(9000));
    slowdown.record(4.0, at(9050));
    CHECK(slowdown.slowPeriodLeft(at(9050)) == before);
}

// An upstream that has just started is twice as slow for seconds, and its VM has slow spells besides.
TEST_CASE("what counts as slow is measured against the best pace of the last moments")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    for (int time = 50; time <= 1200; time += 50) {
        slowdown.record(2.0, at(time));
    }
    CHECK(slowdown.slowPeriodLeft(at(1200)) == Duration{0});
    slowdown.record(8.0, at(1250));
    CHECK(slowdown.slowPeriodLeft(at(1250)) > Duration{0});
    CHECK(slowdown.afterSlowPeriod(at(1250)) == 2.0);
}

TEST_CASE("work that changes its pace with the VM is measured by the paces on its way")
{
    VmSlowdown slowdown;
    slowdown.record(1.0, at(0));
    slowdown.record(4.0, at(100));
    slowdown.record(1.0, at(300));
    CHECK(slowdown.baselineTimeBetween(at(50), at(400)) == Milliseconds(50 + 50 + 100));
    CHECK(slowdown.baselineTimeBetween(at(350), at(400)) == Milliseconds(50));
}

// Guards against work that begins in a slow spell of a VM of which a node that has just started knows nothing else.
TEST_CASE("the first pace that is seen is a slow spell if it is far from what a start explains")
{
    VmSlowdown slow;
    slow.record(8.0, at(0));
    CHECK(slow.slowPeriodLeft(at(0)) > Duration{0});
    CHECK(slow.afterSlowPeriod(at(0)) == 2.0);
    VmSlowdown started;
    started.record(2.0, at(0));
    CHECK(started.slowPeriodLeft(at(0)) == Duration{0});
    CHECK(started.afterSlowPeriod(at(0)) == 2.0);
}

TEST_CASE("a VM that stays slow is taken as it is also when nothing else was ever seen")
{
    VmSlowdown slowdown;
    for (int time = 0; time <= 2000; time += 50) {
        slowdown.record(4.0, at(time));
    }
    CHECK(slowdown.afterSlowPeriod(at(2000)) == 4.0);
    CHECK(slowdown.slowPeriodLeft(at(2000)) == Duration{0});
}

#include "egress/upstreamhealth.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

}

TEST_CASE("a single failure gives a small failure share, and many failures give a large one")
{
    UpstreamHealth health;
    CHECK(health.failureShare(at(0)) == 0.0);
    health.record(true, at(0));
    CHECK(health.failureShare(at(0)) <= 0.3);
    for (int count = 1; count < 20; ++count) {
        health.record(true, at(count * 10));
    }
    CHECK(health.failureShare(at(200)) > 0.8);
}

// Guards against an upstream that never gets requests again. It failed half of its requests for five seconds, so that
// no more were sent to it. Without new answers it can't show that it has recovered.
TEST_CASE("the failure share decays without answers, so that the upstream is tried again")
{
    UpstreamHealth health;
    for (int count = 0; count < 20; ++count) {
        health.record(count % 2 == 0, at(count * 50));
    }
    const double shareBefore = health.failureShare(at(1000));
    CHECK(shareBefore > 0.3);
    CHECK(health.failureShare(at(8000)) < shareBefore / 4);
    for (int count = 0; count < 20; ++count) {
        health.record(false, at(8000 + count * 50));
    }
    CHECK(health.failureShare(at(9000)) < 0.05);
}

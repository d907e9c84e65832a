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

TEST_CASE("one failure alone says little, many say much")
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

// An upstream failed half of its requests for five seconds and was left alone. It has recovered, but nothing is sent
// there that could show it.
TEST_CASE("evidence fades, so that the upstream is tried again")
{
    UpstreamHealth health;
    for (int count = 0; count < 20; ++count) {
        health.record(count % 2 == 0, at(count * 50));
    }
    const double now = health.failureShare(at(1000));
    CHECK(now > 0.3);
    CHECK(health.failureShare(at(8000)) < now / 4);
    for (int count = 0; count < 20; ++count) {
        health.record(false, at(8000 + count * 50));
    }
    CHECK(health.failureShare(at(9000)) < 0.05);
}

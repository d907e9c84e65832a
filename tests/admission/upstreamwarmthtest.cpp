#include "admission/upstreamwarmth.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};

}

// Guards against a node that was just started and takes an upstream for warm of which it knows nothing.
TEST_CASE("an upstream of which nothing is known is not warm")
{
    UpstreamWarmth warmth;
    CHECK_FALSE(warmth.isWarm());
    CHECK(warmth.needsHealthCheck());
    warmth.onHealthAnswer(Milliseconds{0}, Start);
    CHECK(warmth.isWarm());
    CHECK_FALSE(warmth.needsHealthCheck());
    warmth.onUnknown();
    CHECK_FALSE(warmth.isWarm());
}

TEST_CASE("an upstream is cold until a health answer says otherwise")
{
    UpstreamWarmth warmth;
    warmth.onHealthAnswer(Milliseconds{2000}, Start);
    CHECK_FALSE(warmth.isWarm());
    CHECK(warmth.isKnownCold());
    CHECK(warmth.warmUpLeft(Start + Milliseconds(500)) == Milliseconds(1500));
    CHECK(warmth.warmUpLeft(Start + Milliseconds(2500)) == Duration{0});
    CHECK_FALSE(warmth.isWarm());
    warmth.onHealthAnswer(Milliseconds{0}, Start + Milliseconds(2500));
    CHECK(warmth.isWarm());
}

// Guards against an upstream that becomes cold without a restart, and goes on getting requests as a warm one.
TEST_CASE("a health answer holds for a few requests only, and the next check is due before they are used up")
{
    constexpr int MaxRequests = 8;
    UpstreamWarmth warmth;
    warmth.onHealthAnswer(Milliseconds{0}, Start);
    int requests = 0;
    bool wasCheckDueBefore = false;
    while (warmth.isWarm() && requests <= MaxRequests) {
        wasCheckDueBefore = warmth.needsHealthCheck();
        warmth.onHandOver();
        ++requests;
    }
    CHECK(requests <= MaxRequests);
    CHECK(wasCheckDueBefore);
    warmth.onHealthAnswer(Milliseconds{0}, Start + Milliseconds(100));
    CHECK(warmth.isWarm());
}

#include <catch2/catch.hpp>

#include "fixtures.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const Incarnation Peer(7);

}

TEST_CASE("the delay of a call is the excess of its transit time over the minimum, whatever the peer's clock shows")
{
    for (const Duration offset : {Duration(0s), Duration(500h), Duration(-3h)}) {
        LatenessGuard guard;
        CHECK(guard.observe(Peer, offset, Start + 2ms) == 0s);
        CHECK(guard.observe(Peer, offset + 100ms, Start + 101ms) == 0s);
        const Duration delay = guard.observe(Peer, offset + 200ms, Start + 200ms + 1ms + 3s);
        CHECK(delay <= 3s);
        CHECK(delay > 2990ms);
    }
}

TEST_CASE("a late call after a long silence is still detected, less the drift of the clocks")
{
    LatenessGuard guard;
    CHECK(guard.observe(Peer, 0s, Start) == 0s);
    const Duration delay = guard.observe(Peer, 1h, Start + 1h + 10s);
    CHECK(delay > 9s);
    CHECK(delay <= 10s);
}

TEST_CASE("drift within the limit does not make calls look late")
{
    LatenessGuard guard;
    for (int minute = 0; minute < 600; ++minute) {
        const Duration sent = minute * Duration(1min);
        const Duration drifted = sent + sent / 1'000'000 * 150;
        CHECK(guard.observe(Peer, sent, Start + drifted) == 0s);
    }
}

TEST_CASE("a jump of the peer's clock is forgotten after two windows with calls")
{
    LatenessGuard guard;
    CHECK(guard.observe(Peer, 100s, Start) == 0s);
    Duration delay = 0s;
    for (int second = 1; second <= 180; ++second) {
        delay = guard.observe(Peer, 90s + second * 1s, Start + second * 1s);
        if (second == 1) {
            CHECK(delay > 9s);
        }
    }
    CHECK(delay < 100ms);
}

TEST_CASE("the peer whose last call is oldest is forgotten when the maximum of peers is reached")
{
    LatenessLimits limits;
    limits.maxPeers = 2;
    LatenessGuard guard(limits);
    (void)guard.observe(Incarnation(1), 0s, Start);
    (void)guard.observe(Incarnation(2), 0s, Start + 1s);
    (void)guard.observe(Incarnation(3), 0s, Start + 2s);
    CHECK(guard.peerCount() == 2);
    CHECK(guard.observe(Incarnation(2), 0s, Start + 3s) > 1900ms);
    CHECK(guard.observe(Incarnation(1), 0s, Start + 9s) == 0s);
}

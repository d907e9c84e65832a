#include <catch2/catch.hpp>

#include "fixtures.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const Incarnation Peer(7);

}

TEST_CASE("the wait of a call is what its transit exceeds the least by, whatever the peer's clock shows")
{
    for (const Duration offset : {Duration(0s), Duration(500h), Duration(-3h)}) {
        LatenessGuard guard;
        CHECK(guard.observe(Peer, offset, Start + 2ms) == 0s);
        CHECK(guard.observe(Peer, offset + 100ms, Start + 101ms) == 0s);
        const Duration waited = guard.observe(Peer, offset + 200ms, Start + 200ms + 1ms + 3s);
        CHECK(waited <= 3s);
        CHECK(waited > 2990ms);
    }
}

TEST_CASE("after a long silence a late call is still seen, but for the drift of the clocks")
{
    LatenessGuard guard;
    CHECK(guard.observe(Peer, 0s, Start) == 0s);
    const Duration waited = guard.observe(Peer, 1h, Start + 1h + 10s);
    CHECK(waited > 9s);
    CHECK(waited <= 10s);
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
    Duration waited = 0s;
    for (int second = 1; second <= 180; ++second) {
        waited = guard.observe(Peer, 90s + second * 1s, Start + second * 1s);
        if (second == 1) {
            CHECK(waited > 9s);
        }
    }
    CHECK(waited < 100ms);
}

TEST_CASE("the peer silent for longest is forgotten when there is no room")
{
    LatenessLimits limits;
    limits.peers = 2;
    LatenessGuard guard(limits);
    (void)guard.observe(Incarnation(1), 0s, Start);
    (void)guard.observe(Incarnation(2), 0s, Start + 1s);
    (void)guard.observe(Incarnation(3), 0s, Start + 2s);
    CHECK(guard.peerCount() == 2);
    CHECK(guard.observe(Incarnation(2), 0s, Start + 3s) > 1900ms);
    CHECK(guard.observe(Incarnation(1), 0s, Start + 9s) == 0s);
}

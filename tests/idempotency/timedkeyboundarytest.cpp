#include <catch2/catch.hpp>

#include "fixtures.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

const Digest Set{1, 0};
const Digest OtherSet{2, 0};
constexpr Milliseconds Clock{2'000};
constexpr Milliseconds Future{2'000};
constexpr Milliseconds Lease{3'000};

/// An owner whose set was confirmed at its start; its boundary lies at Clock + Future + Lease after the start.
TimedKeyBoundary confirmedOwner()
{
    TimedKeyBoundary boundary({Clock, Future, Lease});
    boundary.confirmed(Set, true, Start, WallStart);
    return boundary;
}

std::optional<Failure> check(const TimedKeyBoundary &boundary, Milliseconds keyTime, Milliseconds now,
                             const Digest &set = Set)
{
    return boundary.check(keyId(keyTime.count()), set, Start + now, WallStart + now);
}

void keepConfirmed(TimedKeyBoundary &boundary, Milliseconds from, Milliseconds until, const Digest &set = Set)
{
    for (Milliseconds now = from; now <= until; now += 1s) {
        boundary.confirmed(set, true, Start + now, WallStart + now);
    }
}

}

TEST_CASE("keys from before the start, and the allowances after it, are refused")
{
    TimedKeyBoundary boundary = confirmedOwner();
    keepConfirmed(boundary, 0s, 10s);
    const Milliseconds last = Clock + Future + Lease;
    CHECK(check(boundary, -1s, 10s)->reason == Reason::KeyOutOfMemory);
    CHECK(check(boundary, last, 10s)->reason == Reason::KeyOutOfMemory);
    CHECK_FALSE(check(boundary, last + 1ms, 10s));
}

TEST_CASE("keys made ahead of the owner's clock are refused")
{
    TimedKeyBoundary boundary = confirmedOwner();
    keepConfirmed(boundary, 0s, 10s);
    CHECK_FALSE(check(boundary, 10s + Future, 10s));
    CHECK(check(boundary, 10s + Future + 1ms, 10s)->reason == Reason::BadKey);
}

TEST_CASE("an owner that was not confirmed within its lease takes no keys")
{
    TimedKeyBoundary boundary({Clock, Future, Lease});
    CHECK(check(boundary, 20s, 20s)->reason == Reason::NoTable);
    keepConfirmed(boundary, 0s, 10s);
    CHECK_FALSE(check(boundary, 9s, 10s + Lease - 1ms));
    CHECK(check(boundary, 9s, 10s + Lease)->reason == Reason::NoTable);
    SECTION("nor if only the wall clock went on, as when its VM was suspended")
    {
        CHECK(boundary.check(keyId(9000), Set, Start + 10s, WallStart + 10s + Lease)->reason == Reason::NoTable);
    }
    SECTION("nor if the wall clock was set back meanwhile")
    {
        CHECK(boundary.check(keyId(9000), Set, Start + 10s + Lease, WallStart + 10s)->reason == Reason::NoTable);
    }
    SECTION("and after a gap it refuses what another owner may have taken meanwhile")
    {
        boundary.confirmed(Set, true, Start + 14s, WallStart + 14s);
        CHECK(check(boundary, 14s, 14s)->reason == Reason::KeyOutOfMemory);
    }
}

TEST_CASE("a changed owner set, or a skipped table, raises the boundary over the other owners' leases")
{
    TimedKeyBoundary boundary = confirmedOwner();
    keepConfirmed(boundary, 0s, 10s);
    SECTION("changed")
    {
        boundary.confirmed(OtherSet, true, Start + 11s, WallStart + 11s);
        CHECK(check(boundary, 11s, 11s, OtherSet)->reason == Reason::KeyOutOfMemory);
    }
    SECTION("skipped")
    {
        boundary.confirmed(Set, false, Start + 11s, WallStart + 11s);
        CHECK(check(boundary, 11s, 11s)->reason == Reason::KeyOutOfMemory);
    }
    CHECK(boundary.boundary() == stampOf(WallStart + 11s + Clock + Future + Lease));
}

TEST_CASE("an ingress that chose by another owner set is refused")
{
    TimedKeyBoundary boundary = confirmedOwner();
    keepConfirmed(boundary, 0s, 10s);
    CHECK(check(boundary, 9s, 10s, OtherSet)->reason == Reason::NoTable);
    CHECK(check(boundary, 9s, 10s, OtherSet)->verdict == Verdict::MayHaveRun);
}

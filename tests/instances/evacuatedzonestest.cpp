#include "instances/evacuatedzones.h"

#include <catch2/catch.hpp>

#include <string>

using namespace Egretpath;

namespace
{

const ZoneName A("north-a");
const ZoneName B("north-b");

EvacuationSnapshot snapshotAt(std::uint64_t revision, std::vector<Evacuation> evacuations)
{
    return {StoreRevision(revision), StoreRevision(), std::move(evacuations)};
}

EvacuationChange beginAt(const ZoneName &zone, std::uint64_t revision)
{
    return {zone, StoreRevision(revision), true};
}

EvacuationChange endAt(const ZoneName &zone, std::uint64_t revision)
{
    return {zone, StoreRevision(revision), false};
}

}

TEST_CASE("nothing is known of evacuations before they were read once, also if there are none")
{
    EvacuatedZones zones;
    CHECK_FALSE(zones.isKnown());
    CHECK_FALSE(zones.applySnapshot(snapshotAt(7, {})));
    CHECK(zones.isKnown());
    CHECK(zones.size() == 0);
}

TEST_CASE("evacuations begin and end in series, several at once")
{
    EvacuatedZones zones;
    zones.applySnapshot(snapshotAt(10, {{A, StoreRevision(4)}}));
    CHECK(zones.contains(A));
    CHECK(zones.applyChange(beginAt(B, 11)));
    CHECK(zones.applyChange(endAt(A, 12)));
    CHECK(zones.applyChange(beginAt(A, 13)));
    zones.advanceTo(StoreRevision(13));
    CHECK(zones.contains(A));
    CHECK(zones.contains(B));
    CHECK(zones.applyChange(endAt(B, 14)));
    CHECK_FALSE(zones.contains(B));
    CHECK(zones.lastChange() == StoreRevision(14));
}

// Guards against an old answer of another node that ends an evacuation, or revives one that has ended.
TEST_CASE("an older update neither ends an evacuation nor revives one that has ended")
{
    EvacuatedZones zones;
    zones.applySnapshot(snapshotAt(20, {{A, StoreRevision(18)}}));
    CHECK_FALSE(zones.applySnapshot(snapshotAt(17, {{B, StoreRevision(9)}})));
    CHECK_FALSE(zones.applyChange(endAt(A, 15)));
    CHECK(zones.contains(A));
    CHECK_FALSE(zones.contains(B));
    zones.applyChange(endAt(A, 21));
    zones.advanceTo(StoreRevision(21));
    CHECK_FALSE(zones.applyChange(beginAt(A, 18)));
    CHECK_FALSE(zones.applySnapshot(snapshotAt(20, {{A, StoreRevision(18)}})));
    CHECK_FALSE(zones.contains(A));
}

// Guards against an evacuation that stays for good, since the store has forgotten the change that ended it.
TEST_CASE("a snapshot without a zone ends its evacuation, and other nodes are told of a change")
{
    EvacuatedZones zones;
    zones.applySnapshot(snapshotAt(20, {{A, StoreRevision(18)}}));
    CHECK(zones.lastChange() == StoreRevision(18));
    CHECK(zones.applySnapshot(snapshotAt(30, {})));
    CHECK_FALSE(zones.contains(A));
    CHECK(zones.lastChange() == StoreRevision(30));
}

// Guards against a zone that counts as in use again because it was evacuated while a list of several pages was read.
TEST_CASE("an evacuation that began after the revision of a snapshot stays")
{
    EvacuatedZones zones;
    zones.applySnapshot(snapshotAt(20, {{A, StoreRevision(22)}}));
    CHECK_FALSE(zones.applySnapshot(snapshotAt(21, {})));
    CHECK(zones.contains(A));
    CHECK_FALSE(zones.applyChange(beginAt(A, 22)));
    CHECK(zones.applySnapshot(snapshotAt(25, {})));
    CHECK_FALSE(zones.contains(A));
}

TEST_CASE("a node that takes the snapshot of another one knows as much as that one")
{
    EvacuatedZones one;
    one.applySnapshot(snapshotAt(20, {{A, StoreRevision(18)}, {B, StoreRevision(19)}}));
    one.applyChange(endAt(A, 23));
    one.advanceTo(StoreRevision(40));
    EvacuatedZones other;
    other.applySnapshot(one.snapshot());
    CHECK(other.reached() == one.reached());
    CHECK(other.lastChange() == one.lastChange());
    CHECK(other.snapshot().evacuations == std::vector<Evacuation>{{B, StoreRevision(19)}});
}

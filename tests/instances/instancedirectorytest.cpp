#include "instances/instancedirectory.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace Egretpath;

namespace
{

const ServiceName Statements("statements");

TimePoint at(int milliseconds)
{
    return TimePoint(std::chrono::seconds(1000)) + Milliseconds(milliseconds);
}

InstanceRecord recordOf(const std::string &id, std::uint64_t revision, InstanceState state = InstanceState::Ready)
{
    InstanceRecord record;
    record.id = UpstreamName(id);
    record.service = Statements;
    record.address = Endpoint("10.0.0.1:" + id);
    record.state = state;
    record.revision = StoreRevision(revision);
    return record;
}

InstanceChange changeTo(const InstanceRecord &record)
{
    return {record.id, record.revision, record};
}

InstanceChange removalOf(const std::string &id, std::uint64_t revision)
{
    return {UpstreamName(id), StoreRevision(revision), std::nullopt};
}

InstanceSnapshot snapshotOf(std::uint64_t revision, std::vector<InstanceRecord> records)
{
    return {StoreRevision(revision), std::move(records)};
}

std::string readyIn(const InstanceDirectory &directory)
{
    std::string ids;
    for (const InstanceRecord *record : directory.ready(Statements)) {
        ids += record->id.value() + " ";
    }
    return ids;
}

}

TEST_CASE("upstreams that drain or are removed get no new work")
{
    InstanceDirectory directory;
    CHECK_FALSE(directory.hasList());
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2), recordOf("3", 3)}), at(0)));
    CHECK(readyIn(directory) == "1 2 3 ");
    CHECK(directory.applyChange(changeTo(recordOf("2", 6, InstanceState::Draining)), at(1)));
    CHECK(directory.applyChange(removalOf("3", 7), at(2)));
    CHECK(readyIn(directory) == "1 ");
    CHECK(directory.find(UpstreamName("2")) != nullptr);
    CHECK(directory.find(UpstreamName("3")) == nullptr);
}

// Guards against new work for a draining upstream. A node learns that the upstream drains. Then a peer that was cut off
// before that answers with an older list, and a late page of the store still shows the upstream as ready.
TEST_CASE("older lists and changes do not undo newer ones")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    REQUIRE(directory.applyChange(changeTo(recordOf("1", 6, InstanceState::Draining)), at(1)));
    REQUIRE(directory.applyChange(removalOf("2", 7), at(2)));
    directory.advanceTo(StoreRevision(7));
    CHECK_FALSE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(3)));
    CHECK_FALSE(directory.applyChange(changeTo(recordOf("1", 1)), at(4)));
    CHECK_FALSE(directory.applyChange(changeTo(recordOf("2", 2)), at(5)));
    CHECK(readyIn(directory).empty());
    CHECK(directory.applyChange(changeTo(recordOf("2", 8)), at(6)));
    CHECK(readyIn(directory) == "2 ");
}

// Guards against refusing every request after an outage of the store that is longer than the upstreams' leases. The
// first list after the outage is empty, although all upstreams live and will register again.
TEST_CASE("records that expired during a store outage are used until they had time to return")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2), recordOf("3", 3)}), at(0)));
    REQUIRE(directory.applyChange(changeTo(recordOf("3", 6, InstanceState::Draining)), at(1)));
    directory.onStoreLost(at(10));
    directory.onStoreRecovered(at(9000));
    REQUIRE(directory.applySnapshot(snapshotOf(9, {}), at(9010)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.find(UpstreamName("3")) == nullptr);
    CHECK(directory.snapshotAsChanges().empty());
    REQUIRE(directory.applyChange(changeTo(recordOf("1", 10)), at(10'000)));
    CHECK_FALSE(directory.expire(at(11'000)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.expire(at(11'300)));
    CHECK(readyIn(directory) == "1 ");
}

TEST_CASE("removals are not held while the store is available")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    REQUIRE(directory.applySnapshot(snapshotOf(6, {recordOf("2", 2)}), at(1)));
    CHECK(readyIn(directory) == "2 ");
    CHECK_FALSE(directory.holdsRemovals(at(1)));
}

// Guards against requests to an upstream that has left. One node's link to the store is cut while the store runs on,
// and an upstream leaves. After the cut, the node must not hold the upstream for two seconds as if its record had
// expired, because an upstream that left stops answering sooner.
TEST_CASE("after a cut of only the node's own link, records that the store no longer lists are dropped at once")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    directory.onStoreLost(at(10));
    directory.setStoreAvailableElsewhere(true);
    REQUIRE(directory.applySnapshot(snapshotOf(7, {recordOf("2", 2)}), at(5000)));
    CHECK(readyIn(directory) == "1 2 ");
    directory.onStoreRecovered(at(9000));
    directory.expire(at(9000));
    CHECK(readyIn(directory) == "2 ");
    REQUIRE(directory.applySnapshot(snapshotOf(9, {}), at(9001)));
    CHECK(readyIn(directory).empty());
}

// Guards against requests to dead upstreams. All VMs lose power and start again. For four seconds the list holds the
// dead upstreams together with their successors, so that every other request would go to a dead one first.
TEST_CASE("an upstream whose address another upstream has taken is no longer used")
{
    InstanceDirectory directory;
    InstanceRecord crashed = recordOf("1", 4);
    InstanceRecord successor = recordOf("2", 9);
    successor.address = crashed.address;
    REQUIRE(directory.applySnapshot(snapshotOf(9, {crashed, successor, recordOf("3", 5)}), at(0)));
    CHECK(readyIn(directory) == "2 3 ");
    REQUIRE(directory.applyChange(removalOf("2", 10), at(1)));
    CHECK(readyIn(directory) == "1 3 ");
}

TEST_CASE("of two records with one address the later one is found")
{
    InstanceDirectory directory;
    InstanceRecord older = recordOf("1", 1);
    InstanceRecord newer = recordOf("2", 8);
    newer.address = older.address;
    REQUIRE(directory.applySnapshot(snapshotOf(9, {older, newer}), at(0)));
    REQUIRE(directory.findByAddress(older.address) != nullptr);
    CHECK(directory.findByAddress(older.address)->id == newer.id);
    CHECK(directory.findByAddress(Endpoint("10.9.9.9:1")) == nullptr);
}

TEST_CASE("the changes after a revision bring a node with the list of that revision up to date")
{
    InstanceDirectory reader;
    reader.applySnapshot(snapshotOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    InstanceDirectory follower;
    follower.applySnapshot(snapshotOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    reader.applyChange(changeTo(recordOf("3", 11)), at(1));
    reader.applyChange(removalOf("1", 12), at(1));
    reader.applyChange(changeTo(recordOf("2", 13, InstanceState::Draining)), at(1));
    reader.advanceTo(StoreRevision(13));
    const auto changes = reader.changesSince(StoreRevision(10));
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 3);
    for (const InstanceChange &change : *changes) {
        follower.applyChange(change, at(2));
    }
    follower.advanceTo(StoreRevision(13));
    CHECK(readyIn(follower) == "3 ");
    CHECK(follower.changesSince(StoreRevision(13))->empty());
}

TEST_CASE("records missing from a new complete list are passed on as removals")
{
    // The reader's watch lost its history, so the reader read the complete list again. A follower that gets only the
    // changes must learn which upstreams were missing from the list, or it continues to send work to them.
    InstanceDirectory reader;
    reader.applySnapshot(snapshotOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    reader.applySnapshot(snapshotOf(20, {recordOf("2", 7)}), at(1));
    const auto changes = reader.changesSince(StoreRevision(10));
    REQUIRE(changes.has_value());
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().id == UpstreamName("1"));
    CHECK_FALSE(changes->front().record.has_value());
}

TEST_CASE("a node whose list is older than all remembered changes needs the complete list")
{
    InstanceDirectory reader;
    CHECK_FALSE(reader.changesSince(StoreRevision(0)).has_value());
    reader.applySnapshot(snapshotOf(10, {recordOf("1", 4)}), at(0));
    CHECK_FALSE(reader.changesSince(StoreRevision(9)).has_value());
    CHECK(reader.changesSince(StoreRevision(10)).has_value());
    CHECK(reader.snapshotAsChanges().size() == 1);
}

// Guards against nodes that continue to use upstreams which left without draining. The nodes began to read the store a
// moment before, took that for the end of an outage and held the missing records, although other nodes had read the
// store all the time.
TEST_CASE("missing records are not held if another node has read the store all the time")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    directory.onStoreLost(at(4000));
    directory.onStoreRecovered(at(7000));
    REQUIRE(directory.applySnapshot(snapshotOf(9, {recordOf("2", 2)}), at(7010)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.holdsRecords(at(7020)));
    SECTION("from before the loss until after it")
    {
        directory.storeAvailableThroughout(at(3900), at(7300));
        CHECK(directory.expire(at(7300)));
        CHECK(readyIn(directory) == "2 ");
        CHECK_FALSE(directory.holdsRemovals(at(7300)));
    }
    SECTION("they are held if that node began to read during the loss")
    {
        directory.storeAvailableThroughout(at(4100), at(7300));
        CHECK_FALSE(directory.expire(at(7300)));
        CHECK(directory.expire(at(9200)));
    }
    SECTION("they are held if that node stopped reading before the end of the loss")
    {
        directory.storeAvailableThroughout(at(3900), at(5900));
        CHECK_FALSE(directory.expire(at(7300)));
    }
}

TEST_CASE("missing records are dropped after a loss if another node read the store throughout")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(snapshotOf(5, {recordOf("1", 1)}), at(0)));
    directory.onStoreLost(at(4000));
    directory.storeAvailableThroughout(at(100), at(6500));
    directory.onStoreRecovered(at(7000));
    REQUIRE(directory.applySnapshot(snapshotOf(9, {}), at(7010)));
    CHECK(readyIn(directory).empty());
}

// Guards against an entry of another writer, with a service that no routes name, that takes the place of a sound one.
TEST_CASE("an entry of a service that no routes name takes no other's place")
{
    InstanceDirectory directory;
    directory.setNamedServices([](const ServiceName &service) { return service == Statements; });
    InstanceRecord sound = recordOf("1", 5);
    InstanceRecord odd = recordOf("odd", 9);
    odd.address = sound.address;
    odd.node = sound.node;
    odd.service = ServiceName("no-service");
    odd.slots = 4'000'000'000U;
    CHECK(directory.applySnapshot(snapshotOf(9, {sound, odd}), at(0)));
    CHECK(readyIn(directory) == "1 ");
    REQUIRE(directory.findByAddress(sound.address) != nullptr);
    CHECK(directory.findByAddress(sound.address)->id == sound.id);
    CHECK(directory.findByNode(sound.node)->id == sound.id);
    // A replacement at the same address, of a service that is named, does.
    odd.service = Statements;
    odd.revision = StoreRevision(12);
    CHECK(directory.applyChange(changeTo(odd), at(10)));
    CHECK(readyIn(directory) == "odd ");
}

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

InstanceSnapshot listOf(std::uint64_t revision, std::vector<InstanceRecord> records)
{
    return {StoreRevision(revision), std::move(records)};
}

std::string readyIn(const InstanceDirectory &directory)
{
    std::string names;
    for (const InstanceRecord *record : directory.ready(Statements)) {
        names += record->id.value() + " ";
    }
    return names;
}

}

TEST_CASE("upstreams that drain or are removed get no new work")
{
    InstanceDirectory directory;
    CHECK_FALSE(directory.hasList());
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2), recordOf("3", 3)}), at(0)));
    CHECK(readyIn(directory) == "1 2 3 ");
    CHECK(directory.applyChange(changeTo(recordOf("2", 6, InstanceState::Draining)), at(1)));
    CHECK(directory.applyChange(removalOf("3", 7), at(2)));
    CHECK(readyIn(directory) == "1 ");
    CHECK(directory.find(UpstreamName("2")) != nullptr);
    CHECK(directory.find(UpstreamName("3")) == nullptr);
}

// A node hears that an upstream drains. A peer that was cut off since before then answers with its older list, and a
// late page of the store still shows the upstream as ready: work went there again.
TEST_CASE("older lists and changes take nothing back")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    REQUIRE(directory.applyChange(changeTo(recordOf("1", 6, InstanceState::Draining)), at(1)));
    REQUIRE(directory.applyChange(removalOf("2", 7), at(2)));
    directory.reached(StoreRevision(7));
    CHECK_FALSE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(3)));
    CHECK_FALSE(directory.applyChange(changeTo(recordOf("1", 1)), at(4)));
    CHECK_FALSE(directory.applyChange(changeTo(recordOf("2", 2)), at(5)));
    CHECK(readyIn(directory).empty());
    CHECK(directory.applyChange(changeTo(recordOf("2", 8)), at(6)));
    CHECK(readyIn(directory) == "2 ");
}

// The store is away for longer than the leases of the upstreams. The first list after its return is empty, although
// all of them live: every request was refused until they had registered again.
TEST_CASE("what lapsed while the store was away is used until it had time to come back")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2), recordOf("3", 3)}), at(0)));
    REQUIRE(directory.applyChange(changeTo(recordOf("3", 6, InstanceState::Draining)), at(1)));
    directory.storeLost(at(10));
    directory.storeBack(at(9000));
    REQUIRE(directory.applySnapshot(listOf(9, {}), at(9010)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.find(UpstreamName("3")) == nullptr);
    CHECK(directory.snapshotAsChanges().empty());
    REQUIRE(directory.applyChange(changeTo(recordOf("1", 10)), at(10'000)));
    CHECK_FALSE(directory.expire(at(11'000)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.expire(at(11'300)));
    CHECK(readyIn(directory) == "1 ");
}

TEST_CASE("removals are not held while the store is in order")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    REQUIRE(directory.applySnapshot(listOf(6, {recordOf("2", 2)}), at(1)));
    CHECK(readyIn(directory) == "2 ");
    CHECK_FALSE(directory.holdsRemovals(at(1)));
}

// One node's link to the store is cut, the store itself runs on. An upstream leaves meanwhile; the node, back in touch,
// held it for two seconds as if it had lapsed, and sent it requests longer than an upstream that left answers.
TEST_CASE("after a cut of the own link alone, what the store no longer lists is gone at once")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    directory.storeLost(at(10));
    directory.storeSeenInOrder(true);
    REQUIRE(directory.applySnapshot(listOf(7, {recordOf("2", 2)}), at(5000)));
    CHECK(readyIn(directory) == "1 2 ");
    directory.storeBack(at(9000));
    directory.expire(at(9000));
    CHECK(readyIn(directory) == "2 ");
    REQUIRE(directory.applySnapshot(listOf(9, {}), at(9001)));
    CHECK(readyIn(directory).empty());
}

// All VMs lose power and start again. For four seconds the list holds the dead beside their successors, and every other
// request went to a dead one first.
TEST_CASE("an upstream whose address another one has taken is not used any more")
{
    InstanceDirectory directory;
    InstanceRecord dead = recordOf("1", 4);
    InstanceRecord successor = recordOf("2", 9);
    successor.address = dead.address;
    REQUIRE(directory.applySnapshot(listOf(9, {dead, successor, recordOf("3", 5)}), at(0)));
    CHECK(readyIn(directory) == "2 3 ");
    REQUIRE(directory.applyChange(removalOf("2", 10), at(1)));
    CHECK(readyIn(directory) == "1 3 ");
}

TEST_CASE("of two records with one address the later one counts")
{
    InstanceDirectory directory;
    InstanceRecord former = recordOf("1", 1);
    InstanceRecord present = recordOf("2", 8);
    present.address = former.address;
    REQUIRE(directory.applySnapshot(listOf(9, {former, present}), at(0)));
    REQUIRE(directory.findByAddress(former.address) != nullptr);
    CHECK(directory.findByAddress(former.address)->id == present.id);
    CHECK(directory.findByAddress(Endpoint("10.9.9.9:1")) == nullptr);
}

TEST_CASE("what changed after a revision is enough for a node that has the list of then")
{
    InstanceDirectory reader;
    reader.applySnapshot(listOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    InstanceDirectory follower;
    follower.applySnapshot(listOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    reader.applyChange(changeTo(recordOf("3", 11)), at(1));
    reader.applyChange(removalOf("1", 12), at(1));
    reader.applyChange(changeTo(recordOf("2", 13, InstanceState::Draining)), at(1));
    reader.reached(StoreRevision(13));
    const auto changes = reader.changesSince(StoreRevision(10));
    REQUIRE(changes.has_value());
    CHECK(changes->size() == 3);
    for (const InstanceChange &change : *changes) {
        follower.applyChange(change, at(2));
    }
    follower.reached(StoreRevision(13));
    CHECK(readyIn(follower) == "3 ");
    CHECK(follower.changesSince(StoreRevision(13))->empty());
}

TEST_CASE("what a whole list no longer holds is told on as removed")
{
    // The reader's watch lost its history and it read the whole list anew. A follower that gets only the changes has to
    // learn of those that were missing from it, or it goes on to send work to them.
    InstanceDirectory reader;
    reader.applySnapshot(listOf(10, {recordOf("1", 4), recordOf("2", 7)}), at(0));
    reader.applySnapshot(listOf(20, {recordOf("2", 7)}), at(1));
    const auto changes = reader.changesSince(StoreRevision(10));
    REQUIRE(changes.has_value());
    REQUIRE(changes->size() == 1);
    CHECK(changes->front().id == UpstreamName("1"));
    CHECK_FALSE(changes->front().record.has_value());
}

TEST_CASE("a node whose list is older than all that is remembered needs the whole one")
{
    InstanceDirectory reader;
    CHECK_FALSE(reader.changesSince(StoreRevision(0)).has_value());
    reader.applySnapshot(listOf(10, {recordOf("1", 4)}), at(0));
    CHECK_FALSE(reader.changesSince(StoreRevision(9)).has_value());
    CHECK(reader.changesSince(StoreRevision(10)).has_value());
    CHECK(reader.snapshotAsChanges().size() == 1);
}

// Guards against nodes that go on using upstreams which left without a word: they had begun to read the store a moment
// before, took that for the end of an outage, and held what was missing, while others had read the store all the time.
TEST_CASE("what is missing is not held where another node has read the store all the time")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1), recordOf("2", 2)}), at(0)));
    directory.storeLost(at(4000));
    directory.storeBack(at(7000));
    REQUIRE(directory.applySnapshot(listOf(9, {recordOf("2", 2)}), at(7010)));
    CHECK(readyIn(directory) == "1 2 ");
    CHECK(directory.holdsRecords(at(7020)));
    SECTION("from before the loss until after it")
    {
        directory.storeAvailableThroughout(at(3900), at(7300));
        CHECK(directory.expire(at(7300)));
        CHECK(readyIn(directory) == "2 ");
        CHECK_FALSE(directory.holdsRemovals(at(7300)));
    }
    SECTION("but not if it began to read in the middle of it")
    {
        directory.storeAvailableThroughout(at(4100), at(7300));
        CHECK_FALSE(directory.expire(at(7300)));
        CHECK(directory.expire(at(9200)));
    }
    SECTION("nor if it has not read since")
    {
        directory.storeAvailableThroughout(at(3900), at(5900));
        CHECK_FALSE(directory.expire(at(7300)));
    }
}

TEST_CASE("what is missing after a loss is gone where another node read the store meanwhile and does so still")
{
    InstanceDirectory directory;
    REQUIRE(directory.applySnapshot(listOf(5, {recordOf("1", 1)}), at(0)));
    directory.storeLost(at(4000));
    directory.storeAvailableThroughout(at(100), at(6500));
    directory.storeBack(at(7000));
    REQUIRE(directory.applySnapshot(listOf(9, {}), at(7010)));
    CHECK(readyIn(directory).empty());
}

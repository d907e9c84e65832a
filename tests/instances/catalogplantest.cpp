#include "instances/catalogplan.h"

#include <catch2/catch.hpp>

#include "catalogfleet.h"

using namespace Egretpath;

namespace
{

constexpr int Regions = 3;
constexpr std::uint64_t Seed = 7;
constexpr std::chrono::seconds Calm{3};
constexpr std::chrono::seconds Away{8};

/// The only node of its region.
CatalogPlan planOfOnlyNode()
{
    const Endpoint own("10.0.0.1:7620");
    InstanceSnapshot snapshot;
    snapshot.revision = StoreRevision(1);
    InstanceRecord record;
    record.id = UpstreamName("u1");
    record.node = own;
    record.location.region = RegionName("north");
    record.revision = StoreRevision(1);
    snapshot.records.push_back(record);
    InstanceDirectory directory;
    directory.applySnapshot(snapshot, TimePoint());
    CatalogPlan plan(RegionName("north"), ReaderElectionSettings(), CatalogTimes(), Random(Seed));
    plan.listChanged(directory, own, true);
    return plan;
}

bool nobody(int /*node*/)
{
    return false;
}

bool everybody(int /*node*/)
{
    return true;
}

/// Calls to the store while it turns everybody away for eight seconds, and for three after it.
std::uint64_t callsWhileAway(int nodes)
{
    CatalogFleet fleet(nodes, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    const std::uint64_t before = fleet.storeCalls();
    fleet.setStore(nobody);
    fleet.runUntil(fleet.now() + Away);
    fleet.setStore(everybody);
    fleet.runUntil(fleet.now() + Calm);
    return fleet.storeCalls() - before;
}

}

TEST_CASE("in calm, few read and all have the news")
{
    CatalogFleet fleet(295, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    CHECK(fleet.nodesThatRead() == 6);
    CHECK(fleet.nodesUpToDate() == 295);
    fleet.publish();
    fleet.runUntil(fleet.now() + Milliseconds(500));
    CHECK(fleet.nodesUpToDate() == 295);
}

// Guards against a fleet in which every node calls a store that is away: at each node one call in .3 s.
TEST_CASE("calls to a store that is away hardly grow with the fleet")
{
    const std::uint64_t small = callsWhileAway(18);
    const std::uint64_t large = callsWhileAway(295);
    // Of the calls that a fleet makes of which every node calls, a tenth.
    CHECK(large < 760);
    CHECK(large < small * 5);
}

TEST_CASE("while the store is away, all know it, and they know when it is back")
{
    CatalogFleet fleet(295, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    fleet.setStore(nobody);
    fleet.runUntil(fleet.now() + CatalogTimes().provenFor + Milliseconds(1000));
    CHECK(fleet.nodesThatSay(StoreState::Unavailable) == 295);
    fleet.publish();
    fleet.setStore(everybody);
    fleet.runUntil(fleet.now() + Milliseconds(2500));
    CHECK(fleet.nodesThatSay(StoreState::Available) == 295);
    CHECK(fleet.nodesUpToDate() == 295);
    CHECK(fleet.nodesThatRead() == 6);
}

// Guards against a region on old news for as long as the store turns just its readers away.
TEST_CASE("a store that turns the readers away and serves the others is found out")
{
    for (const int nodes : {18, 295}) {
        CatalogFleet fleet(nodes, Regions, Seed);
        fleet.runUntil(fleet.now() + Calm);
        const std::set<int> readers = fleet.readers();
        fleet.setStore([&readers](int node) { return !readers.contains(node); });
        fleet.runUntil(fleet.now() + Milliseconds(2000));
        fleet.publish();
        fleet.runUntil(fleet.now() + Milliseconds(2000));
        CHECK(fleet.nodesUpToDate() == nodes);
        fleet.setStore(everybody);
        fleet.runUntil(fleet.now() + std::chrono::seconds(10));
        CHECK(fleet.nodesThatRead() == static_cast<int>(readers.size()));
    }
}

// Guards against a region whose readers and their deputies are all turned away, while another region can read.
TEST_CASE("a region that is turned away whole has its news from another one")
{
    CatalogFleet fleet(60, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    fleet.setStore([](int node) { return node % Regions != 0; });
    fleet.runUntil(fleet.now() + Milliseconds(3000));
    fleet.publish();
    fleet.runUntil(fleet.now() + Milliseconds(2500));
    CHECK(fleet.nodesUpToDate() == 60);
}

TEST_CASE("nodes whose readers are dead have the news from others")
{
    CatalogFleet fleet(60, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    for (const int reader : fleet.readers()) {
        fleet.kill(reader);
    }
    fleet.publish();
    fleet.runUntil(fleet.now() + Milliseconds(3000));
    CHECK(fleet.nodesUpToDate() == fleet.livingNodes());
}

TEST_CASE("a store that serves a few only is found by somebody, and the news goes on from there")
{
    CatalogFleet fleet(60, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    fleet.setStore([](int node) { return node >= 30; });
    fleet.publish();
    fleet.runUntil(fleet.now() + Milliseconds(4000));
    CHECK(fleet.nodesUpToDate() == 60);
}

// Guards against a region that follows a node which has just started while the store is away, has its list from another
// node, and has not read the store itself.
TEST_CASE("a node that reads for others says that the store is in order only when it has read it")
{
    CatalogPlan plan = planOfOnlyNode();
    const TimePoint now = TimePoint() + std::chrono::seconds(10);
    CHECK(plan.reading() == StoreReading::Usual);
    CHECK(plan.store(now, false) == StoreState::Unavailable);
    plan.recordStoreRead(now);
    CHECK(plan.store(now, false) == StoreState::Available);
    plan.beginReading(now);
    CHECK(plan.store(now, false) == StoreState::Unavailable);
    plan.ownReadingBack(now);
    CHECK(plan.store(now, false) == StoreState::Available);
}

// Guards against a node that heard of a store that is away, then hears nobody, and waits for somebody to tell it the
// rest.
TEST_CASE("a node that is left alone while the store is away reads for itself")
{
    constexpr int Nodes = 18;
    constexpr int Left = 17;
    CatalogFleet fleet(Nodes, Regions, Seed);
    fleet.runUntil(fleet.now() + Calm);
    fleet.setStore(nobody);
    fleet.runUntil(fleet.now() + Away);
    for (int node = 0; node < Nodes; ++node) {
        if (node != Left) {
            fleet.kill(node);
        }
    }
    fleet.publish();
    fleet.setStore(everybody);
    fleet.runUntil(fleet.now() + Away);
    CHECK(fleet.nodesUpToDate() == 1);
}

#include "fakefleet.h"

#include <catch2/catch.hpp>

#include "distribution/vmlistsettings.h"
#include "distribution/vmliststore.h"

using namespace Egretpath;
using namespace Egretpath::Testing;

namespace
{

constexpr FleetShape Shape{3, 6, 18};
constexpr std::size_t Vms = 108;
/// Each region's first reader and its two standbys.
constexpr std::size_t RankedNodes = 9;
constexpr std::chrono::seconds LearnLimit{10};
constexpr std::chrono::seconds QuietTime{60};

FleetSubject vmListSubject()
{
    FleetSubject subject;
    subject.makeStore = [] { return std::make_unique<VmListStore>(); };
    subject.exchange = vmListExchangeSettings();
    subject.readers = vmListReaderSettings(Milliseconds(1'000));
    subject.hasStartGate = false;
    return subject;
}

VmList listOf(std::uint64_t version, VmState stateOfFirst)
{
    VmList list{version, {}};
    for (std::size_t vm = 0; vm < Vms; ++vm) {
        // Three digits each, so that the order of the names is that of the numbers.
        const std::string name = std::string("vm") + std::to_string(100 + vm);
        const Location location{RegionName("northmere"), ZoneName("northmere-a")};
        const VmState state = vm == 0 ? stateOfFirst : VmState::Live;
        list.records.push_back(
            {UpstreamName(name), ServiceName("statements"), location, Endpoint("10.0.0.1:1"), state});
    }
    return list;
}

TableVersion publish(FakeFleet &fleet, const VmList &list)
{
    const TableVersion version = VmListStore::versionOf(list);
    fleet.publish(version, printVmList(list));
    return version;
}

}

// Story: a VM leaves and the platform's list says so. Every node must learn it within seconds, though only the ranked
// nodes of each region read the list; with a read by each node, 22,000 of them would break the platform's limit.
TEST_CASE("all nodes learn of a leaving VM while only the ranked nodes read the list")
{
    FakeFleet fleet(Shape, 1, vmListSubject());
    const TableVersion live = publish(fleet, listOf(1, VmState::Live));
    fleet.startAll();
    REQUIRE(fleet.runUntilAll(live, LearnLimit));
    fleet.run(QuietTime);
    fleet.forgetReads();
    const TableVersion leaving = publish(fleet, listOf(2, VmState::Leaving));
    CHECK(fleet.runUntilAll(leaving, LearnLimit));
    fleet.run(QuietTime);
    CHECK(fleet.readingNodes() <= RankedNodes);
    CHECK(fleet.mostPaidCopies(leaving) == 1);
}

// Story: the platform is restored from an older state and serves the former list. A node that took it would send work
// to a VM that has left. Nobody confirms the newer list any more, so after a while all nodes read the platform for
// themselves; these reads must stay under their share of its limit.
TEST_CASE("a list that the platform serves again is not taken, and the reads that follow stay few")
{
    constexpr std::size_t FallbackLimit = 200 + 3 * RankedNodes;
    FakeFleet fleet(Shape, 2, vmListSubject());
    const TableVersion live = publish(fleet, listOf(1, VmState::Live));
    fleet.startAll();
    REQUIRE(fleet.runUntilAll(live, LearnLimit));
    fleet.run(QuietTime);
    const TableVersion leaving = publish(fleet, listOf(2, VmState::Leaving));
    REQUIRE(fleet.runUntilAll(leaving, LearnLimit));
    fleet.forgetReads();
    fleet.servePlatform(live);
    fleet.run(3 * QuietTime);
    CHECK(fleet.runUntilAll(leaving, std::chrono::seconds(0)));
    CHECK(fleet.falls().empty());
    CHECK(fleet.readingNodes() > RankedNodes);
    CHECK(fleet.mostReadsPerSecond() <= FallbackLimit);
}

// Story: the platform goes down and a VM is replaced meanwhile. Its node starts with nothing and must get the list from
// its peers.
TEST_CASE("a node that starts while the platform is down gets the list from its peers")
{
    FakeFleet fleet(Shape, 3, vmListSubject());
    const TableVersion live = publish(fleet, listOf(1, VmState::Live));
    fleet.startAll();
    REQUIRE(fleet.runUntilAll(live, LearnLimit));
    fleet.setPlatformUp(false);
    fleet.restart(7);
    CHECK(fleet.runUntilAll(live, LearnLimit));
}

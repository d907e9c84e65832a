#include "distribution/vmliststore.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace Egretpath;

namespace
{

VmRecord recordOf(int upstream, VmState state)
{
    const std::string number = std::to_string(upstream);
    return {UpstreamName("u" + number), ServiceName("s"), Location{RegionName("r"), ZoneName("z")},
            Endpoint("10.0.0.1:7"), state};
}

VmList arbitraryList(std::uint64_t version)
{
    VmList list{version, {}};
    // One digit each, so that the order of numbers is the order of names.
    for (int upstream = 0; upstream < 10; ++upstream) {
        if (*rc::gen::arbitrary<bool>()) {
            list.records.push_back(recordOf(upstream, *rc::gen::element(VmState::Live, VmState::Leaving)));
        }
    }
    return list;
}

}

TEST_CASE("any change leads a store at its base to the very list")
{
    CHECK(rc::check("a store that follows changes holds the list of the store that loads", [] {
        VmListStore reader;
        VmListStore follower;
        RC_ASSERT(reader.load(arbitraryList(1)));
        RC_ASSERT(follower.applyWhole(*reader.currentVersion(), reader.whole()));
        for (std::uint64_t version = 2; version < 10; ++version) {
            RC_ASSERT(reader.load(arbitraryList(version)));
            const std::optional<TableVersion> base = follower.currentVersion();
            const std::optional<std::string> change = reader.changeSince(*base);
            if (change && *rc::gen::arbitrary<bool>()) {
                RC_ASSERT(follower.applyChange(*base, *reader.currentVersion(), *change));
                RC_ASSERT(follower.list() == reader.list());
            }
        }
    }));
}

// Story: a node shuns live VMs, or calls ones that are gone. A change arrived cut short, or was made for another
// list, and the node took what it could read.
TEST_CASE("a change that is cut short or does not lead to its target leaves the list as it was")
{
    VmListStore reader;
    REQUIRE(reader.load({1, {recordOf(1, VmState::Live), recordOf(2, VmState::Live), recordOf(3, VmState::Live)}}));
    const TableVersion base = *reader.currentVersion();
    VmListStore follower;
    REQUIRE(follower.applyWhole(base, reader.whole()));
    REQUIRE(reader.load({2, {recordOf(1, VmState::Leaving), recordOf(2, VmState::Live)}}));
    const std::string change = *reader.changeSince(base);
    for (std::size_t length = 0; length + 1 < change.size(); ++length) {
        CHECK_FALSE(follower.applyChange(base, *reader.currentVersion(), change.substr(0, length)));
        CHECK(follower.currentVersion() == base);
    }
    CHECK_FALSE(follower.applyWhole(*reader.currentVersion(), follower.whole()));
    CHECK(follower.applyChange(base, *reader.currentVersion(), change));
}

TEST_CASE("an older list is not taken, and versions too long ago have no change")
{
    VmListStore store;
    REQUIRE(store.load({1, {recordOf(1, VmState::Live)}}));
    const TableVersion first = *store.currentVersion();
    CHECK_FALSE(store.load({0, {}}));
    for (std::uint64_t version = 2; version < 3 + VmListStore::HistoryLength; ++version) {
        REQUIRE(store.load({version, {recordOf(1, VmState::Live)}}));
    }
    CHECK_FALSE(store.changeSince(first));
}

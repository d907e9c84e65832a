#include "instances/peerchoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <set>
#include <string>

#include "instances/fleetlist.h"

using namespace Egretpath;

namespace
{

RegionName regionOf(int number)
{
    return RegionName("region-" + std::to_string(number % 3));
}

}

TEST_CASE("peers are drawn from the list, without this node and without doubles")
{
    const InstanceDirectory directory = listOf(9, regionOf);
    Random random(1);
    std::set<Endpoint> seen;
    for (int round = 0; round < 100; ++round) {
        const auto peers = anyPeers(directory, nodeOf(0), 2, random);
        REQUIRE(peers.size() == 2);
        CHECK(peers[0] != peers[1]);
        seen.insert(peers.begin(), peers.end());
    }
    CHECK(seen.size() == 8);
    CHECK_FALSE(seen.contains(nodeOf(0)));
    CHECK(anyPeers(listOf(2, regionOf), nodeOf(0), 2, random) == std::vector<Endpoint>{nodeOf(1)});
    CHECK(anyPeers(listOf(1, regionOf), nodeOf(0), 2, random).empty());
}

// Guards against a region that asks itself what it missed as a whole.
TEST_CASE("a node of each other region is drawn, and none of this one")
{
    const InstanceDirectory directory = listOf(9, regionOf);
    Random random(1);
    std::set<Endpoint> seen;
    for (int round = 0; round < 100; ++round) {
        const auto peers = onePeerOfEachOtherRegion(directory, regionOf(0), random);
        REQUIRE(peers.size() == 2);
        seen.insert(peers.begin(), peers.end());
    }
    CHECK(seen == std::set<Endpoint>{nodeOf(1), nodeOf(2), nodeOf(4), nodeOf(5), nodeOf(7), nodeOf(8)});
    CHECK(onePeerOfEachOtherRegion(listOf(1, regionOf), regionOf(0), random).empty());
}

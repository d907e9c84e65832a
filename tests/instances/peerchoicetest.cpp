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

TEST_CASE("peers are sampled from the list without this node and without duplicates")
{
    const InstanceDirectory directory = directoryOf(9, regionOf);
    Random random(1);
    std::set<Endpoint> seen;
    for (int round = 0; round < 100; ++round) {
        const auto peers = samplePeers(directory, nodeAddress(0), 2, random);
        REQUIRE(peers.size() == 2);
        CHECK(peers[0] != peers[1]);
        seen.insert(peers.begin(), peers.end());
    }
    CHECK(seen.size() == 8);
    CHECK_FALSE(seen.contains(nodeAddress(0)));
    CHECK(samplePeers(directoryOf(2, regionOf), nodeAddress(0), 2, random) == std::vector<Endpoint>{nodeAddress(1)});
    CHECK(samplePeers(directoryOf(1, regionOf), nodeAddress(0), 2, random).empty());
}

// Guards against a region whose nodes query only each other after all of them missed a change.
TEST_CASE("one node of each other region is chosen and none of this region")
{
    const InstanceDirectory directory = directoryOf(9, regionOf);
    Random random(1);
    std::set<Endpoint> seen;
    for (int round = 0; round < 100; ++round) {
        const auto peers = onePeerOfEachOtherRegion(directory, regionOf(0), random);
        REQUIRE(peers.size() == 2);
        seen.insert(peers.begin(), peers.end());
    }
    CHECK(seen
          == std::set<Endpoint>{nodeAddress(1), nodeAddress(2), nodeAddress(4), nodeAddress(5), nodeAddress(7),
                                nodeAddress(8)});
    CHECK(onePeerOfEachOtherRegion(directoryOf(1, regionOf), regionOf(0), random).empty());
}

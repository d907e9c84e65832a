#include "membership/peerdirectory.h"

#include <set>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

VmList listOf(int regions, int zones, int nodes)
{
    VmList list{1, {}};
    for (int region = 0; region < regions; ++region) {
        for (int zone = 0; zone < zones; ++zone) {
            for (int node = 0; node < nodes; ++node) {
                const std::string place = std::to_string(region) + std::to_string(zone);
                list.records.push_back(
                    {UpstreamName("u" + place + "-" + std::to_string(node)), ServiceName("s"),
                     Location{RegionName(std::string("r") + std::to_string(region)), ZoneName("z" + place)},
                     Endpoint("10.0.0.1:7"), VmState::Live});
            }
        }
    }
    return list;
}

}

TEST_CASE("readers are ranked the same whatever the order of the list, and stand in two zones")
{
    VmList list = listOf(3, 2, 6);
    const PeerDirectory directory(list);
    std::reverse(list.records.begin(), list.records.end());
    const PeerDirectory other(list);
    REQUIRE(directory.regions().size() == 3);
    for (std::size_t region = 0; region < 3; ++region) {
        const auto &readers = directory.regions()[region].readers;
        REQUIRE(readers.size() == PeerDirectory::RankedReaders);
        CHECK(readers == other.regions()[region].readers);
        CHECK(directory.peers()[readers[0]].location != directory.peers()[readers[1]].location);
        CHECK(directory.readerRank(directory.peers()[readers[2]].upstream) == std::size_t{2});
    }
}

TEST_CASE("the loss of the first reader moves no other region's readers")
{
    VmList list = listOf(3, 2, 6);
    const PeerDirectory before(list);
    const UpstreamName lost = before.peers()[before.regions()[0].readers[0]].upstream;
    std::erase_if(list.records, [&](const VmRecord &record) { return record.upstream == lost; });
    const PeerDirectory after(list);
    for (const std::size_t region : {std::size_t{1}, std::size_t{2}}) {
        CHECK(before.peers()[before.regions()[region].readers[0]].upstream
              == after.peers()[after.regions()[region].readers[0]].upstream);
    }
    CHECK_FALSE(after.find(lost));
}

TEST_CASE("a sample of a zone is distinct, without the asking node, and as large as can be")
{
    const PeerDirectory directory(listOf(1, 2, 6));
    const VmRecord own = directory.peers().front();
    Random random(1);
    for (std::size_t wanted = 0; wanted < 9; ++wanted) {
        const auto sample = directory.sampleZone(own.location, wanted, own.upstream, random);
        CHECK(sample.size() == std::min<std::size_t>(wanted, 5));
        CHECK(std::set<PeerDirectory::Index>(sample.begin(), sample.end()).size() == sample.size());
        for (const auto index : sample) {
            CHECK(directory.peers()[index].location == own.location);
            CHECK(directory.peers()[index].upstream != own.upstream);
        }
    }
}

TEST_CASE("leaving VMs are nobody's peers")
{
    VmList list = listOf(1, 1, 2);
    list.records.front().state = VmState::Leaving;
    CHECK(PeerDirectory(list).peers().size() == 1);
}

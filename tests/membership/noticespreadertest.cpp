#include "membership/noticespreader.h"

#include <algorithm>
#include <map>

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr std::size_t Regions = 3;
constexpr int ZonesPerRegion = 2;
constexpr int NodesPerZone = 50;
const Incarnation LeavingIncarnation(7);

TimePoint at(int milliseconds)
{
    return TimePoint{} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

VmList fleetList()
{
    VmList list{1, {}};
    for (std::size_t region = 0; region < Regions; ++region) {
        for (int zone = 0; zone < ZonesPerRegion; ++zone) {
            for (int node = 0; node < NodesPerZone; ++node) {
                const std::string place = std::to_string(region) + "-" + std::to_string(zone);
                list.records.push_back(
                    {UpstreamName("u" + place + "-" + std::to_string(node)), ServiceName("s"),
                     Location{RegionName(std::string("r") + std::to_string(region)), ZoneName("z" + place)},
                     Endpoint("10.0.0.1:7"), VmState::Live});
            }
        }
    }
    return list;
}

/// One node's view and spreader.
struct SpreadingNode
{
    SpreadingNode(const VmRecord &record, const VmList &list, std::shared_ptr<const PeerDirectory> directory,
                  std::uint64_t seed)
        : location(record.location)
        , spreader({}, record.upstream, record.location, view, seed)
    {
        view.applyList(list, at(0));
        spreader.setDirectory(std::move(directory));
    }

    Location location;
    MembershipView view;
    NoticeSpreader spreader;
};

}

// Story: a VM is taken out and still gets calls from far away nodes for many seconds. Its notice is passed on at
// random, a tenth of the messages is lost. Cause: a notice that dies out, or crosses zones and regions too late.
TEST_CASE("a leaving notice reaches every node within three seconds and each paid link a few times at most")
{
    const VmList list = fleetList();
    const auto directory = std::make_shared<const PeerDirectory>(list);
    std::map<UpstreamName, std::unique_ptr<SpreadingNode>> nodes;
    std::uint64_t seed = 1;
    for (const VmRecord &record : list.records) {
        nodes.emplace(record.upstream, std::make_unique<SpreadingNode>(record, list, directory, seed++));
    }
    const UpstreamName leaving = list.records.front().upstream;
    nodes.at(leaving)->view.announce(leaving, LeavingIncarnation, VmState::Leaving, at(0));

    Random random(42);
    std::bernoulli_distribution isLost(0.1);
    std::size_t paidMessages = 0;
    for (int now = 0; now <= 3'000; now += 200) {
        std::vector<NoticeBatch> round;
        for (auto &[upstream, node] : nodes) {
            for (NoticeBatch &batch : node->spreader.tick(at(now))) {
                paidMessages += batch.receiver.location.region != node->location.region ? 1 : 0;
                round.push_back(std::move(batch));
            }
        }
        for (const NoticeBatch &batch : round) {
            for (const MembershipNotice &notice : batch.notices) {
                if (!isLost(random)) {
                    nodes.at(batch.receiver.upstream)->view.noticeReceived(notice, at(now));
                }
            }
        }
    }
    const auto knows = [&](const auto &entry) {
        return entry.first == leaving || entry.second->view.instance(leaving, at(3'000))->standing == Standing::Leaving;
    };
    CHECK(std::count_if(nodes.begin(), nodes.end(), knows) == static_cast<std::ptrdiff_t>(nodes.size()));
    CHECK(paidMessages <= (Regions - 1) * SpreadSettings{}.outwardRounds);
    const auto isSilent = [](const auto &entry) { return !entry.second->view.hasNotices(); };
    CHECK(std::all_of(nodes.begin(), nodes.end(), isSilent));
}

#include "quarantine/quarantinegossip.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

#include "core/digest.h"
#include "instances/peerchoice.h"

namespace Egretpath
{

namespace
{

/// A node and the hash by which it is ranked.
struct RankedNode
{
    std::uint64_t hash = 0;
    Endpoint node;

    friend auto operator<=>(const RankedNode &, const RankedNode &) = default;
};

}

QuarantineGossip::QuarantineGossip(Random random, const QuarantineGossipSettings &settings)
    : random_(random)
    , settings_(settings)
{
}

std::vector<Endpoint> QuarantineGossip::collectors(const InstanceDirectory &directory, const ServiceName &service) const
{
    const std::uint64_t seed = stableHash(service.value());
    std::map<RegionName, std::vector<RankedNode>> nodesByRegion;
    directory.forEachReady([&](const InstanceRecord &record) {
        nodesByRegion[record.location.region].push_back({stableHash(record.node.value(), seed), record.node});
    });
    std::vector<Endpoint> collectors;
    for (auto &[region, nodes] : nodesByRegion) {
        const std::size_t count = std::min(settings_.collectorsPerRegion, nodes.size());
        std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count), nodes.end());
        for (std::size_t index = 0; index < count; ++index) {
            collectors.push_back(nodes[index].node);
        }
    }
    return collectors;
}

std::vector<Endpoint> QuarantineGossip::gossipTargets(const InstanceDirectory &directory, const Endpoint &own)
{
    return samplePeers(directory, own, settings_.fanout, random_);
}

std::optional<TimePoint> QuarantineGossip::enqueue(const std::vector<SuspectedRequest> &refused, TimePoint now)
{
    const bool isScheduled = !pending_.empty();
    std::copy_if(refused.begin(), refused.end(), std::back_inserter(pending_),
                 [this](const SuspectedRequest &item) { return item.age <= settings_.maxGossipAge; });
    if (isScheduled || pending_.empty()) {
        return std::nullopt;
    }
    return std::max<TimePoint>(now, lastRound_ + settings_.minRoundInterval);
}

std::vector<SuspectedRequest> QuarantineGossip::takePending(TimePoint now)
{
    lastRound_ = now;
    return std::exchange(pending_, {});
}

std::vector<SuspectedRequest> QuarantineGossip::selectForMessage(std::vector<SuspectedRequest> requests)
{
    if (requests.size() <= settings_.maxPerMessage) {
        return requests;
    }
    const auto latestCount = static_cast<std::ptrdiff_t>(settings_.maxPerMessage / 2);
    std::shuffle(requests.begin() + latestCount, requests.end(), random_);
    requests.resize(settings_.maxPerMessage);
    return requests;
}

}

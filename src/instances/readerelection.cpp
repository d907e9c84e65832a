#include "instances/readerelection.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "core/digest.h"

namespace Egretpath
{

ReaderElection::ReaderElection(RegionName region, ReaderElectionSettings settings)
    : region_(std::move(region))
    , settings_(settings)
{
}

void ReaderElection::update(const InstanceDirectory &directory, const Endpoint &own)
{
    sources_.clear();
    const std::vector<Endpoint> ranked = rankedNodes(directory, own);
    const auto rank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), own) - ranked.begin());
    const std::size_t readers = (ranked.size() + settings_.nodesPerReader - 1) / settings_.nodesPerReader;
    if (rank < readers) {
        return;
    }
    const std::size_t parent = (rank - readers) / settings_.followersPerNode;
    // Then readers, from a different one for each node: when a node with many below it is lost, they spread.
    for (const std::size_t source : {parent, rank % readers, (rank + 1) % readers, parent + 1}) {
        const Endpoint &node = ranked[std::min(source, rank - 1)];
        const bool known = std::find(sources_.begin(), sources_.end(), node) != sources_.end();
        if (!known && sources_.size() < settings_.mostSources) {
            sources_.push_back(node);
        }
    }
}

std::optional<Endpoint> ReaderElection::source(TimePoint now) const
{
    for (const Endpoint &node : sources_) {
        const auto distrust = distrusted_.find(node);
        if (distrust == distrusted_.end() || distrust->second.until <= now) {
            return node;
        }
    }
    return std::nullopt;
}

void ReaderElection::failed(const Endpoint &node, TimePoint now)
{
    constexpr std::uint32_t MostDoublings = 8;
    Distrust &distrust = distrusted_[node];
    const Milliseconds hold = settings_.distrust * (1U << std::min(distrust.failures, MostDoublings));
    distrust.until = now + std::min(hold, settings_.distrustLimit);
    ++distrust.failures;
}

/// With @p own among them also when its upstream is not listed yet.
std::vector<Endpoint> ReaderElection::rankedNodes(const InstanceDirectory &directory, const Endpoint &own) const
{
    struct Ranked
    {
        std::uint64_t hash = 0;
        Endpoint node;
    };
    std::vector<Ranked> ranked{{stableHash(own.value()), own}};
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region == region_) {
            ranked.push_back({stableHash(record.node.value()), record.node});
        }
    });
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &left, const Ranked &right) {
        return std::tie(left.hash, left.node) < std::tie(right.hash, right.node);
    });
    std::vector<Endpoint> nodes;
    for (Ranked &item : ranked) {
        // Two records of one address stand beside one node.
        if (nodes.empty() || nodes.back() != item.node) {
            nodes.push_back(std::move(item.node));
        }
    }
    return nodes;
}

}

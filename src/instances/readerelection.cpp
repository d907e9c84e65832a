#include "instances/readerelection.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace Egretpath
{

namespace
{

/// A node with what it is ranked by.
struct Ranked
{
    std::uint64_t hash = 0;
    Endpoint node;

    friend auto operator<=>(const Ranked &, const Ranked &) = default;
};

}

ReaderElection::ReaderElection(RegionName region, ReaderElectionSettings settings)
    : region_(std::move(region))
    , settings_(settings)
{
}

void ReaderElection::update(const InstanceDirectory &directory, const Endpoint &own)
{
    sources_.clear();
    substitutes_.clear();
    const std::vector<Endpoint> ranked = rankedNodes(directory, own);
    const auto rank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), own) - ranked.begin());
    const std::size_t readers = (ranked.size() + settings_.nodesPerReader - 1) / settings_.nodesPerReader;
    isStandby_ = rank >= readers && rank < readers * (1 + settings_.standbysPerReader);
    if (rank >= readers) {
        chooseSources(ranked, rank, readers);
    }
    chooseSubstitutes(ranked, rank, readers, foreignReaders(directory));
}

void ReaderElection::chooseSources(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers)
{
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

void ReaderElection::chooseSubstitutes(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers,
                                       const std::vector<Endpoint> &foreign)
{
    const Endpoint &own = ranked[rank];
    const std::size_t reader = rank % readers;
    for (std::size_t number = 0; number < settings_.standbysPerReader; ++number) {
        const std::size_t standby = readers + reader * settings_.standbysPerReader + number;
        if (standby < ranked.size()) {
            addSubstitute(ranked[standby], own);
        }
    }
    addSubstitute(ranked[(reader + 1) % readers], own);
    for (std::size_t number = 0; number < std::min(foreign.size(), settings_.mostForeignReaders); ++number) {
        addSubstitute(foreign[(rank + number) % foreign.size()], own);
    }
}

void ReaderElection::addSubstitute(const Endpoint &node, const Endpoint &own)
{
    const bool isSource = std::find(sources_.begin(), sources_.end(), node) != sources_.end();
    const bool known = std::find(substitutes_.begin(), substitutes_.end(), node) != substitutes_.end();
    if (node != own && !isSource && !known) {
        substitutes_.push_back(node);
    }
}

std::vector<Endpoint> ReaderElection::foreignReaders(const InstanceDirectory &directory) const
{
    std::map<RegionName, Ranked> first;
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region == region_) {
            return;
        }
        const Ranked candidate{stableHash(record.node.value()), record.node};
        const auto [place, isNew] = first.try_emplace(record.location.region, candidate);
        if (!isNew && candidate < place->second) {
            place->second = candidate;
        }
    });
    std::vector<Endpoint> nodes;
    nodes.reserve(first.size());
    for (const auto &[region, ranked] : first) {
        nodes.push_back(ranked.node);
    }
    return nodes;
}

std::optional<Endpoint> ReaderElection::firstTrusted(const std::vector<Endpoint> &nodes, TimePoint now) const
{
    for (const Endpoint &node : nodes) {
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
    std::vector<Ranked> ranked{{stableHash(own.value()), own}};
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region == region_) {
            ranked.push_back({stableHash(record.node.value()), record.node});
        }
    });
    std::sort(ranked.begin(), ranked.end());
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

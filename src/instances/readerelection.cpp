#include "instances/readerelection.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

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

ReaderElection::ReaderElection(RegionName region, ReaderElectionSettings settings)
    : region_(std::move(region))
    , settings_(settings)
{
}

void ReaderElection::update(const InstanceDirectory &directory, const Endpoint &own)
{
    sources_.clear();
    substitutes_.clear();
    otherRegionReaders_.clear();
    ring_.clear();
    isFirstInRing_ = false;
    const std::vector<Endpoint> ranked = rankedNodes(directory, own);
    const auto rank = static_cast<std::size_t>(std::find(ranked.begin(), ranked.end(), own) - ranked.begin());
    const std::size_t readers = (ranked.size() + settings_.nodesPerReader - 1) / settings_.nodesPerReader;
    isStandby_ = rank >= readers && rank < readers * (1 + settings_.standbysPerReader);
    if (rank >= readers) {
        chooseSources(ranked, rank, readers);
    }
    const std::vector<Endpoint> otherReaders = readersOfOtherRegions(directory);
    chooseSubstitutes(ranked, rank, readers, otherReaders);
    if (rank == 0) {
        chooseRing(own, otherReaders);
    }
}

/// Each node asks the one before it, or the next one before that if that one fails; the first asks the last.
void ReaderElection::chooseRing(const Endpoint &own, const std::vector<Endpoint> &otherReaders)
{
    const auto isBefore = [](const Endpoint &left, const Endpoint &right) {
        return std::pair(stableHash(left.value()), left) < std::pair(stableHash(right.value()), right);
    };
    ring_ = otherReaders;
    std::sort(ring_.begin(), ring_.end(), isBefore);
    const auto next = std::upper_bound(ring_.begin(), ring_.end(), own, isBefore);
    isFirstInRing_ = !ring_.empty() && next == ring_.begin();
    std::rotate(ring_.begin(), next, ring_.end());
    std::reverse(ring_.begin(), ring_.end());
}

void ReaderElection::chooseSources(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers)
{
    const std::size_t parent = (rank - readers) / settings_.followersPerNode;
    // The further sources are readers, and each node starts at a different reader. When a node with many followers is
    // lost, its followers spread over the readers.
    for (const std::size_t source : {parent, rank % readers, (rank + 1) % readers, parent + 1}) {
        const Endpoint &node = ranked[std::min(source, rank - 1)];
        const bool isKnown = std::find(sources_.begin(), sources_.end(), node) != sources_.end();
        if (!isKnown && sources_.size() < settings_.maxSources) {
            sources_.push_back(node);
        }
    }
}

void ReaderElection::chooseSubstitutes(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers,
                                       const std::vector<Endpoint> &otherReaders)
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
    for (std::size_t number = 0; number < std::min(otherReaders.size(), settings_.maxOtherRegionReaders); ++number) {
        const Endpoint &other = otherReaders[(rank + number) % otherReaders.size()];
        addSubstitute(other, own);
        otherRegionReaders_.push_back(other);
    }
}

void ReaderElection::addSubstitute(const Endpoint &node, const Endpoint &own)
{
    const bool isSource = std::find(sources_.begin(), sources_.end(), node) != sources_.end();
    const bool isKnown = std::find(substitutes_.begin(), substitutes_.end(), node) != substitutes_.end();
    if (node != own && !isSource && !isKnown) {
        substitutes_.push_back(node);
    }
}

std::vector<Endpoint> ReaderElection::readersOfOtherRegions(const InstanceDirectory &directory) const
{
    std::map<RegionName, RankedNode> firstByRegion;
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region == region_) {
            return;
        }
        const RankedNode candidate{stableHash(record.node.value()), record.node};
        const auto [it, isNew] = firstByRegion.try_emplace(record.location.region, candidate);
        if (!isNew && candidate < it->second) {
            it->second = candidate;
        }
    });
    std::vector<Endpoint> nodes;
    nodes.reserve(firstByRegion.size());
    for (const auto &[region, ranked] : firstByRegion) {
        nodes.push_back(ranked.node);
    }
    return nodes;
}

bool ReaderElection::isEligible(const Endpoint &node, TimePoint now) const
{
    const auto backoff = backoffs_.find(node);
    return backoff == backoffs_.end() || backoff->second.until <= now;
}

std::optional<Endpoint> ReaderElection::firstEligible(const std::vector<Endpoint> &nodes, TimePoint now) const
{
    const auto found =
        std::find_if(nodes.begin(), nodes.end(), [&](const Endpoint &node) { return isEligible(node, now); });
    return found == nodes.end() ? std::nullopt : std::optional(*found);
}

std::vector<Endpoint> ReaderElection::alternatives(const Endpoint &overdue, TimePoint now) const
{
    std::vector<Endpoint> nodes;
    for (const std::vector<Endpoint> *candidates : {&sources_, &otherRegionReaders_}) {
        const auto found = std::find_if(candidates->begin(), candidates->end(),
                                        [&](const Endpoint &node) { return node != overdue && isEligible(node, now); });
        if (found != candidates->end()) {
            nodes.push_back(*found);
        }
    }
    return nodes;
}

void ReaderElection::recordFailure(const Endpoint &node, TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 8;
    Backoff &backoff = backoffs_[node];
    const Milliseconds backoffTime = settings_.failureBackoff * (1U << std::min(backoff.failures, MaxDoublings));
    backoff.until = now + std::min(backoffTime, settings_.maxFailureBackoff);
    ++backoff.failures;
}

/// The nodes of this region in the order of their hashes. They include @p own even if its upstream is not listed yet.
std::vector<Endpoint> ReaderElection::rankedNodes(const InstanceDirectory &directory, const Endpoint &own) const
{
    std::vector<RankedNode> ranked{{stableHash(own.value()), own}};
    directory.forEachReady([&](const InstanceRecord &record) {
        if (record.location.region == region_) {
            ranked.push_back({stableHash(record.node.value()), record.node});
        }
    });
    std::sort(ranked.begin(), ranked.end());
    std::vector<Endpoint> nodes;
    for (RankedNode &item : ranked) {
        // Two records can have the same node.
        if (nodes.empty() || nodes.back() != item.node) {
            nodes.push_back(std::move(item.node));
        }
    }
    return nodes;
}

}

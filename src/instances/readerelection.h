#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "instances/instancedirectory.h"

namespace Egretpath
{

/// Constants of ReaderElection.
struct ReaderElectionSettings
{
    /// Number of nodes of a region per reader. The number of readers is rounded up in each region, so 22,000 nodes in 7
    /// regions have 350 readers. With one change in 3.5 s, their watches stay under a fifth of the store's 2,000 reads
    /// per second.
    std::size_t nodesPerReader = 64;
    /// Followers of each node. A query and its answer take 320 bytes. Three followers' queries and the node's own query
    /// every .7 s are 1.8 KB/s, under the 3 KB/s that a node may spend. An update takes four steps from the store to
    /// the last node.
    std::size_t followersPerNode = 3;
    /// Standbys for each reader, which read the store while the reader can't.
    std::size_t standbysPerReader = 2;
    /// The largest number of nodes that are queried before this node reads for itself.
    std::size_t maxSources = 3;
    /// The largest number of other regions' readers that are also queried while the store is unavailable.
    std::size_t maxOtherRegionReaders = 2;
    /// A failed node is not queried for this long, and for twice as long after each further failure, up to the maximum.
    Milliseconds failureBackoff{500};
    Milliseconds maxFailureBackoff{8000};
};

/// Decides which nodes read the platform's store and which nodes the others query, without any communication.
///
/// Load pattern: a change that every node reads for itself costs as many store calls as there are nodes. Each call to
/// the store costs, and all nodes share its call rate. Therefore the nodes of a region are ranked by a hash of their
/// addresses. The first nodes read the store, and each other node follows a node ranked before it.
///
/// A follower whose source fails goes on to the next source. After a few sources it reads for itself, so that failures
/// of other nodes never keep it from the store. Because a node follows only nodes ranked before it, there is no cycle,
/// however much the lists of the nodes differ. Thread safety: none; one owner. Errors: none.
class ReaderElection
{
public:
    explicit ReaderElection(RegionName region, ReaderElectionSettings settings = {});

    /// Takes a changed instance list. @p own is this node's address, even if its upstream is not listed yet.
    void update(const InstanceDirectory &directory, const Endpoint &own);
    /// The node to follow now; nothing if this node reads the store itself.
    [[nodiscard]] std::optional<Endpoint> source(TimePoint now) const { return firstEligible(sources_, now); }
    /// The node to query when none of the sources can read the store: a standby, another reader of this region or a
    /// reader of another region.
    [[nodiscard]] std::optional<Endpoint> substitute(TimePoint now) const { return firstEligible(substitutes_, now); }
    /// The nodes to query while the answer of @p overdue is late: the next source, and a reader of another region. The
    /// next source may depend on the same silent node; the reader does not. Fewer if there are none.
    [[nodiscard]] std::vector<Endpoint> alternatives(const Endpoint &overdue, TimePoint now) const;
    /// The reader of another region that this node, if it is the first reader of its own, asks for what it has. These
    /// readers form a ring, so that what one of them reads reaches all; nothing if no other region has nodes.
    [[nodiscard]] std::optional<Endpoint> nextInRing(TimePoint now) const { return firstEligible(ring_, now); }
    /// Whether this node is the first of several nodes in that ring.
    [[nodiscard]] bool isFirstInRing() const { return isFirstInRing_; }
    /// @p node did not answer, or has no usable data from the store.
    void recordFailure(const Endpoint &node, TimePoint now);
    /// @p node gave a usable answer.
    void recordAnswer(const Endpoint &node) { backoffs_.erase(node); }
    /// Makes all nodes eligible again, because the store that they could not read is back.
    void clearFailures() { backoffs_.clear(); }
    /// Whether this node is a regular reader of the store.
    [[nodiscard]] bool isReader() const { return sources_.empty(); }
    /// Whether this node is a standby for a reader.
    [[nodiscard]] bool isStandby() const { return isStandby_; }

private:
    struct Backoff
    {
        TimePoint until;
        std::uint32_t failures = 0;
    };

    [[nodiscard]] std::vector<Endpoint> rankedNodes(const InstanceDirectory &directory, const Endpoint &own) const;
    /// The first-ranked node of each other region, which is a reader there.
    [[nodiscard]] std::vector<Endpoint> readersOfOtherRegions(const InstanceDirectory &directory) const;
    void chooseSources(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers);
    void chooseSubstitutes(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers,
                           const std::vector<Endpoint> &otherReaders);
    void chooseRing(const Endpoint &own, const std::vector<Endpoint> &otherReaders);
    void addSubstitute(const Endpoint &node, const Endpoint &own);
    [[nodiscard]] bool isEligible(const Endpoint &node, TimePoint now) const;
    [[nodiscard]] std::optional<Endpoint> firstEligible(const std::vector<Endpoint> &nodes, TimePoint now) const;

    RegionName region_;
    ReaderElectionSettings settings_;
    /// Nodes that this node may follow, in order of preference; empty for a reader.
    std::vector<Endpoint> sources_;
    /// Nodes that this node also queries while no source can read the store.
    std::vector<Endpoint> substitutes_;
    /// Those of them that are readers of other regions.
    std::vector<Endpoint> otherRegionReaders_;
    /// The first readers of the other regions, the one to ask first; empty for all nodes but first readers.
    std::vector<Endpoint> ring_;
    bool isFirstInRing_ = false;
    bool isStandby_ = false;
    std::map<Endpoint, Backoff> backoffs_;
};

}

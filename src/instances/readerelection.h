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
    /// Nodes of a region for one reader. At 22,000 nodes in 7 regions that makes 350 readers, whose watches stay under
    /// a fifth of the store's 2,000 reads a second at a change in 3.5 s.
    std::size_t nodesPerReader = 64;
    /// Nodes that one node passes news on to. A question and its answer take 320 bytes: three of them and its own each
    /// .7 s are 1.8 KB/s, under the 3 KB/s that a node may spend; news is four steps from the store.
    std::size_t followersPerNode = 3;
    /// Nodes that stand in for one that reads while it can't.
    std::size_t standbysPerReader = 2;
    /// How many others are asked before this node reads for itself.
    std::size_t mostSources = 3;
    /// How many of the other regions' readers are asked besides while the store is away.
    std::size_t mostForeignReaders = 2;
    /// A source that failed is left alone for this long, twice as long after each further failure, up to the limit.
    Milliseconds distrust{500};
    Milliseconds distrustLimit{8000};
};

/// Decides which nodes read the platform's store, and whom the others ask, without talking to anybody.
///
/// Each call to the store costs, and its rate is shared by all nodes: one change that every node reads for itself is
/// as many calls as there are nodes. So the nodes of a region are ranked by a hash of their addresses; the first of
/// them read, the others follow one of these. A follower whose source fails goes on to the next; after a few it reads
/// for itself, so that no failure of others keeps it from the store. A node follows only nodes ranked before it, so
/// that nobody follows in a circle, however much the lists of the nodes differ. Thread safety: none; one owner. Errors:
/// none.
class ReaderElection
{
public:
    explicit ReaderElection(RegionName region, ReaderElectionSettings settings = {});

    /// Takes a changed list, in which this node stands as @p own, or would if its upstream were listed.
    void update(const InstanceDirectory &directory, const Endpoint &own);
    /// Whom to follow now; nothing: this node reads the store.
    [[nodiscard]] std::optional<Endpoint> source(TimePoint now) const { return firstTrusted(sources_, now); }
    /// Who may read the store when none of those to follow can: deputies, readers beside them and in other regions.
    [[nodiscard]] std::optional<Endpoint> substitute(TimePoint now) const { return firstTrusted(substitutes_, now); }
    /// @p node did not answer, or can't read the store itself.
    void failed(const Endpoint &node, TimePoint now);
    /// @p node answered in order.
    void answered(const Endpoint &node) { distrusted_.erase(node); }
    /// All are worth a new try: the store, which they could not read, is back.
    void forgiveAll() { distrusted_.clear(); }
    /// This node is one of those that read while all is well.
    [[nodiscard]] bool isReader() const { return sources_.empty(); }
    /// This node is one of those that stand in.
    [[nodiscard]] bool isStandby() const { return isStandby_; }

private:
    struct Distrust
    {
        TimePoint until;
        std::uint32_t failures = 0;
    };

    [[nodiscard]] std::vector<Endpoint> rankedNodes(const InstanceDirectory &directory, const Endpoint &own) const;
    /// The first of each other region.
    [[nodiscard]] std::vector<Endpoint> foreignReaders(const InstanceDirectory &directory) const;
    void chooseSources(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers);
    void chooseSubstitutes(const std::vector<Endpoint> &ranked, std::size_t rank, std::size_t readers,
                           const std::vector<Endpoint> &foreign);
    void addSubstitute(const Endpoint &node, const Endpoint &own);
    [[nodiscard]] std::optional<Endpoint> firstTrusted(const std::vector<Endpoint> &nodes, TimePoint now) const;

    RegionName region_;
    ReaderElectionSettings settings_;
    /// Whom this node follows, the first choice first; empty for a reader.
    std::vector<Endpoint> sources_;
    /// Whom else it asks while these can't read the store.
    std::vector<Endpoint> substitutes_;
    bool isStandby_ = false;
    std::map<Endpoint, Distrust> distrusted_;
};

}

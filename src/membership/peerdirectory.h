#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/identity.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "membership/vmlist.h"

namespace Egretpath
{

/// The nodes of one list, arranged by region and zone, for choosing whom to talk to.
///
/// Only live VMs are in it. It is immutable, so that one copy serves all parts of a node.
/// Thread safety: all methods are safe. Indexes are positions in peers().
class PeerDirectory
{
public:
    using Index = std::uint32_t;

    /// A zone's nodes.
    struct Zone
    {
        Location location;
        std::vector<Index> members;
    };

    /// A region's zones, as indexes into zones(), and its nodes in reader order.
    struct Region
    {
        RegionName name;
        std::vector<Index> zones;
        /// The first RankedReaders nodes by rendezvous hash. The second stands in another zone than the
        /// first where there is one, so that the loss of a zone does not take both.
        std::vector<Index> readers;
    };

    /// How many nodes of each region are ranked.
    static constexpr std::size_t RankedReaders = 3;

    PeerDirectory() = default;
    /// Takes the live VMs of @p list. Preconditions: none. Errors: none.
    explicit PeerDirectory(const VmList &list);
    // positions_ refers to the names inside peers_.
    PeerDirectory(const PeerDirectory &) = delete;
    PeerDirectory &operator=(const PeerDirectory &) = delete;
    ~PeerDirectory() = default;

    [[nodiscard]] const std::vector<VmRecord> &peers() const { return peers_; }
    [[nodiscard]] const std::vector<Zone> &zones() const { return zones_; }
    /// Sorted by name.
    [[nodiscard]] const std::vector<Region> &regions() const { return regions_; }

    /// The position of @p upstream, or nothing if it is not listed as live.
    [[nodiscard]] std::optional<Index> find(const UpstreamName &upstream) const;
    /// The region named @p name, or null.
    [[nodiscard]] const Region *region(const RegionName &name) const;
    /// The zone at @p location, or null.
    [[nodiscard]] const Zone *zone(const Location &location) const;
    /// The rank of @p upstream among the readers of its region, or nothing.
    [[nodiscard]] std::optional<std::size_t> readerRank(const UpstreamName &upstream) const;

    /// Up to @p count distinct random members of the zone at @p location, without @p excluded.
    [[nodiscard]] std::vector<Index> sampleZone(const Location &location, std::size_t count,
                                                const UpstreamName &excluded, Random &random) const;
    /// Bytes of the records and indexes, estimated from container sizes. For metrics.
    [[nodiscard]] std::size_t memoryBytes() const;

private:
    [[nodiscard]] std::vector<Index> rankedReaders(const Region &region) const;
    void addPeer(Index index);

    std::vector<VmRecord> peers_;
    std::vector<Zone> zones_;
    std::vector<Region> regions_;
    std::unordered_map<std::string_view, Index> positions_;
};

}

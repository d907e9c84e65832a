#include "membership/peerdirectory.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <tuple>

#include "core/digest.h"

namespace Egretpath
{

namespace
{

constexpr std::size_t MapNodeBytes = 48;

std::size_t heapBytes(const std::string &text)
{
    const bool isInline = text.capacity() <= std::string().capacity();
    return isInline ? 0 : text.capacity() + 1;
}

}

PeerDirectory::PeerDirectory(const VmList &list)
{
    peers_.reserve(list.records.size());
    for (const VmRecord &record : list.records) {
        if (record.state == VmState::Live) {
            peers_.push_back(record);
        }
    }
    std::sort(peers_.begin(), peers_.end(), [](const VmRecord &left, const VmRecord &right) {
        return std::tie(left.location, left.upstream) < std::tie(right.location, right.upstream);
    });
    positions_.reserve(peers_.size());
    for (Index index = 0; index < peers_.size(); ++index) {
        addPeer(index);
    }
    for (Region &region : regions_) {
        region.readers = rankedReaders(region);
    }
}

void PeerDirectory::addPeer(Index index)
{
    const VmRecord &peer = peers_[index];
    positions_.emplace(peer.upstream.value(), index);
    // The peers are sorted by location, so only the last region and zone can be the peer's.
    if (regions_.empty() || regions_.back().name != peer.location.region) {
        regions_.push_back({peer.location.region, {}, {}});
    }
    if (zones_.empty() || zones_.back().location != peer.location) {
        regions_.back().zones.push_back(static_cast<Index>(zones_.size()));
        zones_.push_back({peer.location, {}});
    }
    zones_.back().members.push_back(index);
}

std::vector<PeerDirectory::Index> PeerDirectory::rankedReaders(const Region &region) const
{
    const std::uint64_t seed = stableHash(region.name.value());
    std::vector<std::pair<std::uint64_t, Index>> scored;
    for (const Index zoneIndex : region.zones) {
        for (const Index member : zones_[zoneIndex].members) {
            scored.emplace_back(stableHash(peers_[member].upstream.value(), seed), member);
        }
    }
    std::sort(scored.rbegin(), scored.rend());
    const auto inOtherZone = [&](const auto &entry) {
        return peers_[entry.second].location != peers_[scored.front().second].location;
    };
    const auto second = std::find_if(scored.begin(), scored.end(), inOtherZone);
    if (second != scored.end()) {
        std::rotate(scored.begin() + 1, second, second + 1);
    }
    std::vector<Index> readers;
    for (std::size_t rank = 0; rank < std::min(RankedReaders, scored.size()); ++rank) {
        readers.push_back(scored[rank].second);
    }
    return readers;
}

std::optional<PeerDirectory::Index> PeerDirectory::find(const UpstreamName &upstream) const
{
    const auto found = positions_.find(upstream.value());
    return found == positions_.end() ? std::nullopt : std::optional(found->second);
}

const PeerDirectory::Region *PeerDirectory::region(const RegionName &name) const
{
    const auto found =
        std::find_if(regions_.begin(), regions_.end(), [&](const Region &region) { return region.name == name; });
    return found == regions_.end() ? nullptr : &*found;
}

const PeerDirectory::Zone *PeerDirectory::zone(const Location &location) const
{
    const auto found =
        std::find_if(zones_.begin(), zones_.end(), [&](const Zone &zone) { return zone.location == location; });
    return found == zones_.end() ? nullptr : &*found;
}

std::optional<std::size_t> PeerDirectory::readerRank(const UpstreamName &upstream) const
{
    const std::optional<Index> index = find(upstream);
    if (!index) {
        return std::nullopt;
    }
    const std::vector<Index> &readers = region(peers_[*index].location.region)->readers;
    const auto found = std::find(readers.begin(), readers.end(), *index);
    return found == readers.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - readers.begin()));
}

std::vector<PeerDirectory::Index> PeerDirectory::sampleZone(const Location &location, std::size_t count,
                                                            const UpstreamName &excluded, Random &random) const
{
    const Zone *const found = zone(location);
    if (found == nullptr) {
        return {};
    }
    const std::optional<Index> own = find(excluded);
    const std::vector<Index> &members = found->members;
    const std::size_t others = members.size() - (own && peers_[*own].location == location ? 1 : 0);
    const std::size_t wanted = std::min(count, others);
    std::vector<Index> sample;
    if (wanted * 2 > others) {
        // A large part of a small zone: drawing with rejection would repeat itself.
        std::copy_if(members.begin(), members.end(), std::back_inserter(sample),
                     [&](Index member) { return member != own; });
        std::shuffle(sample.begin(), sample.end(), random);
        sample.resize(wanted);
        return sample;
    }
    std::uniform_int_distribution<std::size_t> anyMember(0, members.size() - 1);
    while (sample.size() < wanted) {
        const Index drawn = members[anyMember(random)];
        if (drawn != own && std::find(sample.begin(), sample.end(), drawn) == sample.end()) {
            sample.push_back(drawn);
        }
    }
    return sample;
}

std::size_t PeerDirectory::memoryBytes() const
{
    std::size_t bytes = peers_.capacity() * sizeof(VmRecord) + positions_.size() * MapNodeBytes
        + positions_.bucket_count() * sizeof(void *);
    for (const VmRecord &peer : peers_) {
        bytes += heapBytes(peer.upstream.value()) + heapBytes(peer.service.value()) + heapBytes(peer.node.value())
            + heapBytes(peer.location.region.value()) + heapBytes(peer.location.zone.value());
    }
    for (const Zone &zone : zones_) {
        bytes += sizeof(Zone) + zone.members.capacity() * sizeof(Index);
    }
    return bytes;
}

}

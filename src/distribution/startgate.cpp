#include "distribution/startgate.h"

#include <algorithm>
#include <utility>

#include "core/digest.h"

namespace Egretpath
{

namespace
{

/// The zones of one region in the order in which they get places, with what is left of their nodes.
struct ZoneSupply
{
    Location location;
    std::size_t nodesLeft = 0;
};

std::size_t othersIn(const PeerDirectory &directory, const PeerDirectory::Zone &zone, const UpstreamName &own)
{
    const auto index = directory.find(own);
    const bool holdsOwn = index && directory.peers()[*index].location == zone.location;
    return zone.members.size() - (holdsOwn ? 1 : 0);
}

std::vector<std::vector<ZoneSupply>> suppliesByRegion(const PeerDirectory &directory, const UpstreamName &own)
{
    std::vector<std::vector<ZoneSupply>> supplies;
    for (const PeerDirectory::Region &region : directory.regions()) {
        std::vector<ZoneSupply> zones;
        for (const auto zoneIndex : region.zones) {
            const PeerDirectory::Zone &zone = directory.zones()[zoneIndex];
            zones.push_back({zone.location, othersIn(directory, zone, own)});
        }
        // With more zones than places, each node leaves out others.
        std::sort(zones.begin(), zones.end(), [&](const ZoneSupply &left, const ZoneSupply &right) {
            const std::uint64_t seed = stableHash(own.value());
            return stableHash(left.location.zone.value(), seed) < stableHash(right.location.zone.value(), seed);
        });
        supplies.push_back(std::move(zones));
    }
    return supplies;
}

/// Takes a place from the zone of @p zones that had fewest so far (they rotate); nothing if all are used up.
std::optional<Location> takePlace(std::vector<ZoneSupply> &zones)
{
    const auto found =
        std::find_if(zones.begin(), zones.end(), [](const ZoneSupply &zone) { return zone.nodesLeft > 0; });
    if (found == zones.end()) {
        return std::nullopt;
    }
    --found->nodesLeft;
    const Location location = found->location;
    std::rotate(found, found + 1, zones.end());
    return location;
}

}

StartGate::StartGate(StartGateSettings settings, UpstreamName own, std::uint64_t seed, TimePoint now)
    : settings_(settings)
    , own_(std::move(own))
    , random_(seed)
    , startedAt_(now)
{
}

void StartGate::setDirectory(std::shared_ptr<const PeerDirectory> directory, TimePoint now)
{
    directory_ = std::move(directory);
    std::vector<Place> former = std::move(places_);
    places_.clear();
    for (const Location &location : placeLocations()) {
        const auto same =
            std::find_if(former.begin(), former.end(), [&](const Place &place) { return place.location == location; });
        if (same == former.end()) {
            places_.push_back({});
            places_.back().location = location;
            places_.back().nextAskAt = now;
            continue;
        }
        places_.push_back(std::move(*same));
        former.erase(same);
    }
}

std::vector<Location> StartGate::placeLocations() const
{
    std::vector<std::vector<ZoneSupply>> regions = suppliesByRegion(*directory_, own_);
    std::vector<Location> locations;
    bool placed = true;
    while (placed) {
        placed = false;
        for (std::vector<ZoneSupply> &zones : regions) {
            if (locations.size() == settings_.sampleSize) {
                return locations;
            }
            if (const std::optional<Location> location = takePlace(zones)) {
                locations.push_back(*location);
                placed = true;
            }
        }
    }
    return locations;
}

std::vector<VmRecord> StartGate::peersToAsk(TimePoint now)
{
    std::vector<VmRecord> peers;
    for (Place &place : places_) {
        if (open_ || place.informed || now < place.nextAskAt) {
            continue;
        }
        place.nextAskAt = now + settings_.answerTimeout;
        if (const VmRecord *const peer = nextPeer(place)) {
            place.asked = peer->upstream;
            place.tried.push_back(peer->upstream);
            peers.push_back(*peer);
        }
    }
    return peers;
}

bool StartGate::isTried(const UpstreamName &peer) const
{
    return std::any_of(places_.begin(), places_.end(), [&](const Place &place) {
        return std::find(place.tried.begin(), place.tried.end(), peer) != place.tried.end();
    });
}

const VmRecord *StartGate::nextPeer(Place &place)
{
    if (const VmRecord *const peer = untriedPeer(place)) {
        return peer;
    }
    // Everyone was asked. Those that were starting may have a table by now, so begin again.
    place.exhausted = place.emptyAnswers > 0;
    place.tried.clear();
    return untriedPeer(place);
}

const VmRecord *StartGate::untriedPeer(const Place &place)
{
    // A few draws find an untried node of a large zone; the whole zone is gone through only when few are left.
    for (const auto index : directory_->sampleZone(place.location, settings_.sampleSize, own_, random_)) {
        const VmRecord &peer = directory_->peers()[index];
        if (!isTried(peer.upstream)) {
            return &peer;
        }
    }
    for (const auto index : directory_->zone(place.location)->members) {
        const VmRecord &peer = directory_->peers()[index];
        if (peer.upstream != own_ && !isTried(peer.upstream)) {
            return &peer;
        }
    }
    return nullptr;
}

StartGate::Place *StartGate::placeOf(const UpstreamName &peer)
{
    const auto found =
        std::find_if(places_.begin(), places_.end(), [&](const Place &place) { return place.asked == peer; });
    return found == places_.end() ? nullptr : &*found;
}

void StartGate::peerAnswered(const UpstreamName &peer, const TableSummary &summary, TimePoint now)
{
    Place *const place = placeOf(peer);
    if (summary.heard) {
        hear(*summary.heard);
    }
    if (summary.version) {
        hear(*summary.version);
        if (*summary.version == *heard_) {
            holders_.push_back(peer);
        }
    }
    if (place == nullptr) {
        return;
    }
    place->informed = place->informed || summary.version.has_value();
    place->emptyAnswers += summary.version ? 0 : 1;
    place->nextAskAt = std::max(place->nextAskAt, now);
    place->asked.reset();
}

void StartGate::peerFailed(const UpstreamName &peer, TimePoint now)
{
    std::erase(holders_, peer);
    if (Place *const place = placeOf(peer)) {
        place->asked.reset();
        place->nextAskAt = std::max(place->nextAskAt, now);
    }
}

void StartGate::hear(const TableVersion &version)
{
    if (!heard_ || *heard_ < version) {
        heard_ = version;
        holders_.clear();
    }
}

void StartGate::platformAnswered(const std::optional<TableVersion> &head, TimePoint)
{
    platformSeen_ = true;
    platformVersion_ = std::max(platformVersion_, head);
}

bool StartGate::platformSettled(TimePoint now) const
{
    return platformSeen_ || now - startedAt_ >= settings_.emptySettleTime;
}

std::optional<TableVersion> StartGate::required() const
{
    return std::max(heard_, platformVersion_);
}

bool StartGate::counts(const Place &place, TimePoint now) const
{
    if (place.informed || place.emptyAnswers == 0) {
        return place.informed;
    }
    // An empty answer says nothing about what was in force. If the whole fleet starts, there is nothing
    // else to go by. If some node has a table, more of its like are asked for first: the empty ones may be
    // a zone that restarted, and they themselves learn within that time.
    const Duration waited = now - startedAt_;
    if (!heard_) {
        return waited >= settings_.emptySettleTime;
    }
    const bool isThorough = place.exhausted || place.emptyAnswers >= settings_.emptyAnswersPerPlace;
    return waited >= settings_.mixedSettleTime && isThorough;
}

bool StartGate::hasEnough(TimePoint now) const
{
    const auto counted =
        std::count_if(places_.begin(), places_.end(), [&](const Place &place) { return counts(place, now); });
    return static_cast<std::size_t>(counted) * 2 > places_.size();
}

StartDecision StartGate::decide(const std::optional<TableVersion> &held, TimePoint now)
{
    if (open_) {
        return {StartState::Open, std::nullopt, std::nullopt};
    }
    const bool isAlone = directory_ && places_.empty();
    const bool asked = isAlone ? platformSeen_ : directory_ && hasEnough(now) && platformSettled(now);
    const std::optional<TableVersion> needed = required();
    if (!asked || !needed) {
        return {};
    }
    if (held >= needed) {
        open_ = true;
        return {StartState::Open, std::nullopt, std::nullopt};
    }
    StartDecision decision{StartState::Fetching, needed, std::nullopt};
    if (needed == heard_ && !holders_.empty()) {
        decision.holder = holders_.front();
    }
    return decision;
}

}

#include "instances/evacuatedzones.h"

#include <algorithm>

namespace Egretpath
{

bool EvacuatedZones::applySnapshot(const EvacuationSnapshot &snapshot)
{
    if (snapshot.revision < reached_) {
        return false;
    }
    std::map<ZoneName, StoreRevision> zones;
    for (const Evacuation &evacuation : snapshot.evacuations) {
        zones[evacuation.zone] = evacuation.revision;
    }
    for (const auto &[zone, revision] : zones_) {
        if (revision > snapshot.revision) {
            zones.try_emplace(zone, revision);
        }
    }
    const bool hasChanged = zones != zones_;
    const bool hasEnded =
        std::any_of(zones_.begin(), zones_.end(), [&zones](const auto &entry) { return !zones.contains(entry.first); });
    zones_ = std::move(zones);
    lastChange_ = std::max(lastChange_, snapshot.lastChange);
    for (const auto &[zone, revision] : zones_) {
        // A later beginning is reported again as a change.
        lastChange_ = std::max(lastChange_, revision <= snapshot.revision ? revision : StoreRevision());
    }
    if (hasEnded) {
        // The snapshot does not tell when the evacuation ended, but it was no later than this.
        lastChange_ = std::max(lastChange_, snapshot.revision);
    }
    advanceTo(snapshot.revision);
    return hasChanged;
}

bool EvacuatedZones::applyChange(const EvacuationChange &change)
{
    if (change.revision <= reached_) {
        return false;
    }
    lastChange_ = std::max(lastChange_, change.revision);
    const auto found = zones_.find(change.zone);
    if (found != zones_.end() && found->second >= change.revision) {
        return false;
    }
    if (!change.isEvacuated) {
        return zones_.erase(change.zone) > 0;
    }
    const bool isNew = found == zones_.end();
    zones_[change.zone] = change.revision;
    return isNew;
}

void EvacuatedZones::advanceTo(StoreRevision revision)
{
    reached_ = std::max(reached_, revision);
}

EvacuationSnapshot EvacuatedZones::snapshot() const
{
    EvacuationSnapshot snapshot;
    snapshot.revision = reached_;
    snapshot.lastChange = lastChange_;
    for (const auto &[zone, revision] : zones_) {
        snapshot.evacuations.push_back({zone, revision});
    }
    return snapshot;
}

std::string toString(const EvacuatedZones &zones)
{
    std::string text;
    for (const Evacuation &evacuation : zones.snapshot().evacuations) {
        text.append(text.empty() ? "" : " ").append(evacuation.zone.value());
    }
    return text;
}

}

#pragma once

#include <map>
#include <string>
#include <vector>

#include "instances/instancerecord.h"

namespace Egretpath
{

/// An evacuation that is under way: no new request may be sent to the upstreams of the zone.
struct Evacuation
{
    ZoneName zone;
    /// The change that began it.
    StoreRevision revision;

    friend bool operator==(const Evacuation &, const Evacuation &) = default;
};

/// A change of the evacuations, as the store reports it.
struct EvacuationChange
{
    ZoneName zone;
    StoreRevision revision;
    /// Whether the zone is evacuated from this change on; otherwise its evacuation has ended.
    bool isEvacuated = true;
};

/// All evacuations that are under way at one revision of the store.
struct EvacuationSnapshot
{
    StoreRevision revision;
    /// The latest change that the snapshot reflects: the beginning or the end of an evacuation; zero if none is known.
    StoreRevision lastChange;
    std::vector<Evacuation> evacuations;
};

/// The zones that operators evacuate, built from the platform's store and from updates of other nodes.
///
/// Load pattern: operators evacuate zones and end it within seconds, while nodes hear of it from the store and from
/// each other in any order. Everything is ordered by the store's revision, so that an older update neither ends an
/// evacuation nor revives one that has ended.
///
/// Thread safety: none; one owner. Errors: none.
class EvacuatedZones
{
public:
    /// Takes all evacuations at one revision. Returns whether the set of zones changed; nothing changes if the snapshot
    /// is older than what is known.
    bool applySnapshot(const EvacuationSnapshot &snapshot);
    /// Takes one change; changes are to be passed in the order of their revisions. Returns whether the set of zones
    /// changed. Changes up to reached() are ignored.
    bool applyChange(const EvacuationChange &change);
    /// All changes up to @p revision have been applied.
    void advanceTo(StoreRevision revision);

    /// Whether no new request may be sent to the upstreams of @p zone.
    [[nodiscard]] bool contains(const ZoneName &zone) const { return zones_.contains(zone); }
    /// Whether the evacuations were read from the store or received from another node. Until then every zone may be
    /// evacuated.
    [[nodiscard]] bool isKnown() const { return reached_.value() > 0; }
    /// All changes up to this revision are known.
    [[nodiscard]] StoreRevision reached() const { return reached_; }
    [[nodiscard]] StoreRevision lastChange() const { return lastChange_; }
    [[nodiscard]] std::size_t size() const { return zones_.size(); }
    /// The evacuations in the order of their zones' names.
    [[nodiscard]] EvacuationSnapshot snapshot() const;

private:
    std::map<ZoneName, StoreRevision> zones_;
    StoreRevision reached_;
    StoreRevision lastChange_;
};

/// The names of the evacuated zones, separated by spaces. Thread safety: as a const access to @p zones.
[[nodiscard]] std::string toString(const EvacuatedZones &zones);

}

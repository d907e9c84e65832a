#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "instances/storestate.h"
#include "routes/routetable.h"
#include "settings/sidecarsettings.h"
#include "sidecar/catalogsource.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// Where an update of the routes or of the list came from, and how old it was on arrival.
struct UpdateOrigin
{
    /// Stands for updates that this node read from the store itself.
    static constexpr std::string_view Platform = "platform";

    /// A node's address, or Platform.
    std::string from{Platform};
    /// Time since a node read the update from the store, including the travel and wait times of all hops. The travel
    /// times of the requests are counted as well, so that the age is never too low.
    Duration age{0};
    /// Size of the routes as they were transferred.
    std::size_t bytes = 0;
    /// How long the routes took to arrive from the store once their answer had begun; zero from another node.
    Duration transferTime{0};
    /// How long it took to parse the routes.
    Duration parseTime{0};
};

/// The log lines and metrics of CatalogController; docs/OPERATIONS.md describes each line.
/// Thread safety: none. Precondition: references outlive the object. Errors: none.
class CatalogLog
{
public:
    CatalogLog(EventLog &log, Metrics &metrics)
        : log_(log)
        , metrics_(metrics)
    {
    }

    /// @p versionBefore is zero for the first routes of this process, which are left out of the update age metric.
    void logRoutes(const RouteTable &table, RouteVersion versionBefore, const UpdateOrigin &origin);
    /// Warns of routes whose kind this version does not know, which are handled as unsafe.
    void logUnknownKinds(const RouteTable &table);
    /// Warns of regions that a route names and no zone of @p zones is in: the route is served nowhere because of them.
    void logUnknownRegions(const RouteTable &table, const std::vector<ZoneRegion> &zones);
    /// Logs the evacuated zones, and warns of those that are not among @p zones.
    void logEvacuations(const EvacuatedZones &evacuated, const std::vector<ZoneRegion> &zones, std::string_view from);
    void logUpstreamChange(const InstanceChange &change, const UpdateOrigin &origin);
    void recordListAge(const UpdateOrigin &origin);
    /// Logs that the list as a whole changed; @p change is the kind of change.
    void logList(const InstanceDirectory &directory, std::string_view from, std::string_view change);
    /// @p reader reads the store for the node that is followed, and last did so before @p sinceStoreRead.
    void logFollowStarted(const Endpoint &followed, unsigned hops, const Endpoint &reader, Duration sinceStoreRead);
    void logFollowEnded(const Endpoint &followed, std::string_view reason, Duration silentFor);
    /// The answer of @p overdue is late, and @p queried is queried beside it.
    void logOverdueAnswer(const Endpoint &overdue, const Endpoint &queried);
    /// This node has called the store once, though others report it as unavailable.
    void logStoreProbe(bool isReachable);
    /// This node has no source any more that is known to read the store; @p lastReader was the last one.
    void logSearchBegan(const Endpoint &lastReader);
    /// It has one again: @p source, or the store itself.
    void logSearchEnded(std::string_view source, Duration lasted);
    /// The state of the store that this node reports to others.
    void logStoreState(StoreState state);
    /// Whether only this node's own connection to the store is lost.
    void logCutOff(bool isCutOff);
    void setReadsStore(bool readsStore);
    void countStoreCall(std::string_view call, std::string_view outcome);
    /// @p silentFor is the time since the store last answered this node.
    void logSourceLost(std::string_view reason, Duration silentFor);
    /// The store is late with an answer.
    void logStoreOverdue(Duration silentFor);
    /// A call to the store brought changes that a watch which waits had not brought.
    void logWatchSilent(const SilentWatch &silent);
    void logSourceRestored(Duration lostFor);
    void logCatchUp(const Endpoint &peer);
    /// The event loop did not run for @p length when it should have. The longest time is written with the next routes.
    void recordHoldUp(Duration length);
    /// Writes a line for an entry of the store that can't be used; none if the same was said a moment ago.
    void logRefusedEntry(std::string_view key, std::string_view reason);

private:
    struct RefusedEntry
    {
        std::string reason;
        TimePoint loggedAt;
    };

    EventLog &log_;
    Metrics &metrics_;
    /// By key.
    std::map<std::string, RefusedEntry> refusedEntries_;
    /// The longest time for which the event loop was held up since routes were last logged.
    Duration longestHoldUp_{0};
};

}

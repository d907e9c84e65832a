#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "instances/instancedirectory.h"
#include "instances/storestate.h"
#include "routes/routetable.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// Where routes or a change of the list came from, and how old they were by then.
struct NewsOrigin
{
    /// For news that this node read from the store itself.
    static constexpr std::string_view Platform = "platform";

    /// A node's address, or Platform.
    std::string from{Platform};
    /// Since a node read the news from the store, the ways and the waits of all steps included. The ways of the
    /// questions count as well, so that it is never less than the truth.
    Duration age{0};
    /// Of the routes, as they travelled.
    std::size_t bytes = 0;
};

/// The log lines and metrics of CatalogController; docs/OPERATIONS.md tells what each line says.
/// Thread safety: none. Precondition: references outlive it. Errors: none.
class CatalogLog
{
public:
    CatalogLog(EventLog &log, Metrics &metrics)
        : log_(log)
        , metrics_(metrics)
    {
    }

    /// @p before is zero for the first routes of this process, which count for no metric of lateness.
    void routesInForce(const RouteTable &table, RouteVersion before, const NewsOrigin &origin);
    void upstreamChanged(const InstanceChange &change, const NewsOrigin &origin);
    void listRead(const NewsOrigin &origin);
    /// @p what became of the list as a whole.
    void wholeList(const InstanceDirectory &directory, std::string_view from, std::string_view what);
    void followBegun(const Endpoint &reader, unsigned hops);
    void followEnded(const Endpoint &reader, std::string_view why, Duration unheard);
    /// What this node tells others of the store.
    void storeState(StoreState state);
    /// Whether only this node's own way to the platform is cut.
    void cutOff(bool cut);
    void reads(bool reads);
    void storeCalled(std::string_view call, std::string_view outcome);
    void sourceLost(std::string_view why);
    void sourceBack(Duration away);
    void caughtUp(const Endpoint &peer);
    void entryRefused(std::string_view key, std::string_view why);

private:
    EventLog &log_;
    Metrics &metrics_;
};

}

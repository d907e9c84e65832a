#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/verdict.h"
#include "instances/catalogtimes.h"
#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Routes that the platform published.
struct PublishedRoutes
{
    RouteTablePointer table;
    /// Size of the routes as they were published.
    Bytes size{0};
    /// How long the answer with the text took to arrive, once it had begun; zero if it came from another node.
    Milliseconds transferTime{0};
    /// How long parsing took by the clock; a small VM gets its processor only for a part of this time.
    Milliseconds parseTime{0};
};

/// A watch that did not bring changes which another call brought. Both texts are for the log.
struct SilentWatch
{
    /// The first part of the watched keys.
    std::string_view keys;
    /// The call that brought the changes. A "second-watch" shows that an answer was lost. A "read", which is made in a
    /// series of changes only, shows that, or that the store's watches hang.
    std::string_view foundBy;
    /// How long the watch had waited.
    Duration waited = Duration::zero();
};

/// Receives what a CatalogSource reads. Thread safety: none.
class CatalogSink
{
public:
    virtual ~CatalogSink() = default;

    /// Routes of @p version were read and can be parsed. Returns whether they are reported with onRoutesRead() then.
    ///
    /// Guards against a reader on a slow VM that parses a large table for a second although another node has brought it
    /// that version meanwhile.
    [[nodiscard]] virtual bool wantsRoutes(RouteVersion version) = 0;
    virtual void onRoutesRead(PublishedRoutes routes) = 0;
    virtual void onListRead(const InstanceSnapshot &snapshot) = 0;
    /// @p reached: all changes up to this revision are in @p changes or were reported before.
    virtual void onChangesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) = 0;
    /// All evacuations were read.
    virtual void onEvacuationsRead(const EvacuationSnapshot &snapshot) = 0;
    /// @p reached: as for onChangesRead().
    virtual void onEvacuationChangesRead(const std::vector<EvacuationChange> &changes, StoreRevision reached) = 0;
    /// The platform's store can't be read. Called once for each loss.
    virtual void onSourceLost(std::string_view reason) = 0;
    /// The store answers again.
    virtual void onSourceRestored() = 0;
    /// The entry at @p key was read but can't be used. The active routes and list stay.
    virtual void onEntryRefused(std::string_view key, std::string_view reason) = 0;
    /// A call to the store ended. @p call names its purpose and @p outcome its result; both are for metrics.
    virtual void onStoreCalled(std::string_view call, std::string_view outcome) = 0;
    /// All that the store had accepted at @p at was reported.
    virtual void onConfirmed(TimePoint at) = 0;
    /// The store answered a call of any kind.
    virtual void onStoreAnswered() = 0;
    /// An answer of the store takes unusually long. Whether the store is lost is not known yet.
    virtual void onStoreOverdue() = 0;
    /// A call to the store brought changes that a watch which waits had not brought.
    virtual void onWatchSilent(const SilentWatch &silent) = 0;
};

/// Reads routes, evacuations and the instance list from a platform's store. One implementation for each platform.
/// Thread safety: none.
class CatalogSource
{
public:
    virtual ~CatalogSource() = default;

    /// Reports to @p sink what is read from now on. Nothing is read before resume(). Precondition: the sink outlives
    /// the source.
    virtual void attach(CatalogSink &sink) = 0;
    /// Starts reading: the changes after @p listReached, or everything if it is zero. If @p wasLost, the source counts
    /// as lost, and the sink is notified when the store answers. A source that already reads starts again, since its
    /// calls may hang on connections that have failed silently. While the store is unavailable, calls are at most
    /// @p maxInterval apart.
    virtual void resume(StoreRevision listReached, bool wasLost, Milliseconds maxInterval) = 0;
    /// Stops reading: a node that follows another node needs no calls of its own.
    virtual void suspend() = 0;
    /// The sink has all that the store had accepted at @p at, from another node.
    virtual void recordConfirmation(TimePoint at) = 0;
    /// How often the store is called while nothing changes.
    virtual void setCheckTimes(const StoreCheckTimes &times) = 0;
    /// Whether this node could read the store now, found out by the cheapest call that it offers.
    [[nodiscard]] virtual boost::asio::awaitable<bool> isReachable() = 0;
    /// Parses routes that another node read from the store; only nodes of an earlier version send them as text. Errors:
    /// the reason that they can't be used.
    [[nodiscard]] virtual Result<PublishedRoutes> parseRoutes(std::string_view text) const = 0;
};

}

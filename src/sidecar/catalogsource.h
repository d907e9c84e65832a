#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "instances/instancedirectory.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Routes as the platform published them, with what they say.
struct PublishedRoutes
{
    RouteTablePointer table;
    /// What other nodes get, and read themselves.
    std::string text;
};

/// Takes what a CatalogSource reads. Thread safety: none.
class CatalogSink
{
public:
    virtual ~CatalogSink() = default;

    virtual void routesRead(PublishedRoutes routes) = 0;
    virtual void listRead(const InstanceSnapshot &snapshot) = 0;
    /// @p reached: all changes up to this revision are in @p changes or were told before.
    virtual void changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) = 0;
    /// The platform can't be read. Called once for each loss.
    virtual void sourceLost(std::string_view why) = 0;
    /// It answers again.
    virtual void sourceBack() = 0;
    /// Something that was read can't be used; what was in force stays.
    virtual void entryRefused(std::string_view key, std::string_view why) = 0;
    /// A call to the platform ended: what it was for, and how; both for metrics.
    virtual void storeCalled(std::string_view call, std::string_view outcome) = 0;
};

/// Reads routes and the list of upstreams from a platform. One implementation for each platform.
/// Thread safety: none.
class CatalogSource
{
public:
    virtual ~CatalogSource() = default;

    /// Tells @p sink what is read from now on; it outlives the source. Nothing is read before resume().
    virtual void attach(CatalogSink &sink) = 0;
    /// Begins to read, behind @p listReached or everything if that is zero, and tells the sink when that works again if
    /// the source counts as @p lost. Reading that is on already begins anew: its calls may hang on connections that
    /// have fallen silent. While the platform is away, calls are at most @p longestPause apart.
    virtual void resume(StoreRevision listReached, bool lost, Milliseconds longestPause) = 0;
    /// Reads no more: a node that follows another one needs no calls of its own.
    virtual void suspend() = 0;
    /// Whether this node could read now, by the cheapest call there is.
    [[nodiscard]] virtual boost::asio::awaitable<bool> isReachable() = 0;
    /// Routes that another node read from the platform. Errors: why they can't be used.
    [[nodiscard]] virtual Result<PublishedRoutes> readRoutes(std::string text) const = 0;
};

}

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Identifies a route in a table.
struct RouteKey
{
    std::string host;
    std::string prefix;
};

/// What turns one version of the routes into another.
///
/// Load pattern: operators change a few routes of a table with thousands. A node that has the version before needs only
/// these few; transferring and parsing the complete table delays the change at each step on its way, and the requests
/// beside it. Thread safety: as a struct.
struct RouteChanges
{
    /// The version to which the changes apply; zero if they are the complete table.
    RouteVersion from;
    RouteVersion to;
    /// Routes that are new or different.
    std::vector<HostRoutePointer> changed;
    std::vector<RouteKey> removed;
    std::vector<ServiceEntry> changedServices;
    std::vector<ServiceName> removedServices;
    CallerLimits limits;
    /// The content hash of the table that results.
    std::uint64_t contentHash = 0;
};

/// The changes from @p before to @p after; all of @p after if @p before is null. Thread safety: safe.
[[nodiscard]] RouteChanges changesBetween(const RouteTable *before, const RouteTable &after);
/// Returns the table that @p changes make of @p before, which is null for a complete table. Routes that did not change
/// are shared. Thread safety: safe. Errors: BadRequest if @p before has another version than the changes start from, or
/// if the result is not the table that the sender had.
[[nodiscard]] Result<RouteTablePointer> tableAfter(const RouteTable *before, const RouteChanges &changes);

}

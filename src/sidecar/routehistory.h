#pragma once

#include <deque>
#include <map>
#include <optional>
#include <utility>

#include "core/clock.h"
#include "routes/packedroutes.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Changes of routes that came from another node and are not parsed yet.
struct UnparsedRoutes
{
    /// The version to which they apply, and the one that results.
    RouteVersion from;
    RouteVersion to;
    PackedRoutes changes;
    /// When a node read the result from the store.
    TimePoint readAt;
};

/// The latest versions of the routes that this node had, and the changes between them, as other nodes ask for them.
///
/// Old versions share the routes that did not change with the active one, so that each costs little memory. Thread
/// safety: none. Errors: none.
class RouteHistory
{
public:
    /// @p table is active from now on. Precondition: its version is larger than those before.
    void activate(RouteTablePointer table);
    /// As above, for a table that came as @p changes of version @p from; they are passed on as they are.
    void activate(RouteTablePointer table, RouteVersion from, PackedRoutes changes);
    /// The changes from version @p have to the active one, packed; all routes if this node does not know that version.
    /// Precondition: a table is active, and its version is larger.
    [[nodiscard]] const PackedRoutes &changesSince(RouteVersion have);
    /// The version to which changesSince(@p have) apply; zero if they are all routes.
    [[nodiscard]] RouteVersion baseFor(RouteVersion have) const;

    /// Nodes that have the version from which @p routes start can get them from now on, before this node has parsed
    /// them. Precondition: they apply to the active table.
    ///
    /// Guards against changes that arrive late because each node on their way parses them first: by the clock that
    /// takes a tenth of a second on a small VM that is busy, and half a second on a slow one, at each step.
    void offer(UnparsedRoutes routes) { unparsed_ = std::move(routes); }
    /// What was offered was parsed, or can't be used.
    void endOffer() { unparsed_.reset(); }
    /// The routes that are offered to a node that has @p have; null if there are none.
    [[nodiscard]] const UnparsedRoutes *offerFor(RouteVersion have) const;

private:
    [[nodiscard]] const RouteTable *find(RouteVersion version) const;

    /// The newest last.
    std::deque<RouteTablePointer> tables_;
    /// The changes to the active version by the version from which they start; zero for all routes.
    std::map<RouteVersion, PackedRoutes> packed_;
    std::optional<UnparsedRoutes> unparsed_;
};

}

#pragma once

#include <deque>
#include <map>

#include "routes/packedroutes.h"
#include "routes/routetable.h"

namespace Egretpath
{

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

private:
    /// The newest last.
    std::deque<RouteTablePointer> tables_;
    /// The changes to the active version by the version from which they start; zero for all routes.
    std::map<RouteVersion, PackedRoutes> packed_;
};

}

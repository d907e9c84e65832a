#pragma once

#include "core/verdict.h"
#include "routes/packedroutes.h"
#include "routes/routechanges.h"

namespace Egretpath
{

/// Writes @p changes in the form in which nodes send them to each other. Thread safety: safe. Errors: std::bad_alloc.
[[nodiscard]] PackedRoutes packChanges(const RouteChanges &changes);
/// Reads what packChanges() wrote. Thread safety: safe. Errors: BadRequest for any other bytes.
[[nodiscard]] Result<RouteChanges> unpackChanges(const PackedRoutes &packed);

}

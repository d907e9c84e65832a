#pragma once

#include <optional>

#include "core/identity.h"
#include "node/blackboard.h"

namespace Egretpath
{

/// Writes onto @p board that @p seen answered a request of this node, sent at @p sentAt: which incarnation runs there,
/// and whether its @p report says that it leaves.
///
/// Thread safety: none. Errors: none.
void recordSighting(Blackboard &board, const NodeIdentity &seen, const std::optional<LoadReport> &report,
                    TimePoint sentAt, TimePoint now);

}

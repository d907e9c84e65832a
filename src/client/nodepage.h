#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"

namespace Egretpath
{

/// Reads one page of all @p nodes at the same time; the results stand in their order.
/// Preconditions: none. Thread safety: safe; it runs its own event loop. Errors: in each result.
[[nodiscard]] std::vector<Result<std::string>> readPages(const std::vector<Endpoint> &nodes, const std::string &target,
                                                         Duration limit);

}

#pragma once

#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"

namespace Egretpath
{

/// Reads the page @p target from all @p nodes concurrently; each read must finish within @p timeout. The results are in
/// the order of @p nodes. Preconditions: none. Thread safety: safe; it runs its own event loop. Errors: in each result.
[[nodiscard]] std::vector<Result<std::string>> readPages(const std::vector<Endpoint> &nodes, const std::string &target,
                                                         Duration timeout);

}

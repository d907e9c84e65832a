#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "client/command.h"
#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Reads routes in the form in which operators publish them. Errors: what can't be read.
using RouteReader = std::function<Result<RouteTablePointer>(std::string_view)>;

/// The routes in the file at @p path; null, with the reason written, if it can't be read or does not check.
/// Thread safety: safe. Errors: none.
[[nodiscard]] RouteTablePointer readRouteFile(const std::string &path, const RouteReader &reader,
                                              const CommandOutput &output);

}

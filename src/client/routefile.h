#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "client/command.h"
#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Reads routes in the format in which operators publish them. Errors: the reason why the routes are not valid.
using RouteReader = std::function<Result<RouteTablePointer>(std::string_view)>;

/// Returns the routes of the file at @p path. Thread safety: safe. Errors: writes the reason to @p output and returns
/// null if the file can't be read or its routes are not valid.
[[nodiscard]] RouteTablePointer readRouteFile(const std::string &path, const RouteReader &reader,
                                              const CommandOutput &output);

}

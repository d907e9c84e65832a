#pragma once

#include <functional>

#include "instances/instancedirectory.h"

namespace Egretpath
{

/// The address of node @p number.
[[nodiscard]] Endpoint nodeOf(int number);
/// A list of @p nodes nodes, each in the region that @p region names.
[[nodiscard]] InstanceDirectory listOf(int nodes, const std::function<RegionName(int)> &region);

}

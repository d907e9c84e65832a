#pragma once

#include <functional>

#include "instances/instancedirectory.h"

namespace Egretpath
{

/// The address of node @p number.
[[nodiscard]] Endpoint nodeAddress(int number);
/// A directory of @p nodes nodes. @p region returns the region of a node number.
[[nodiscard]] InstanceDirectory directoryOf(int nodes, const std::function<RegionName(int)> &region);

}

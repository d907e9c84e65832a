#pragma once

#include <cstddef>
#include <vector>

#include "core/identity.h"
#include "core/random.h"
#include "instances/instancedirectory.h"

namespace Egretpath
{

/// At most @p count of @p nodes, by chance. Thread safety: none. Errors: none; there may be fewer.
[[nodiscard]] std::vector<Endpoint> drawSome(std::vector<Endpoint> nodes, std::size_t count, Random &random);

/// At most @p count nodes of the list, but not @p own, by chance. Thread safety: none. Errors: none; there may be
/// fewer.
[[nodiscard]] std::vector<Endpoint> anyPeers(const InstanceDirectory &directory, const Endpoint &own, std::size_t count,
                                             Random &random);

/// A node of each region but @p region, by chance: what a whole region missed is known elsewhere only.
/// Thread safety: none. Errors: none; a region without a ready upstream has none.
[[nodiscard]] std::vector<Endpoint> onePeerOfEachOtherRegion(const InstanceDirectory &directory,
                                                             const RegionName &region, Random &random);

}

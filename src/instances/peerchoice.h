#pragma once

#include <cstddef>
#include <vector>

#include "core/identity.h"
#include "core/random.h"
#include "instances/instancedirectory.h"

namespace Egretpath
{

/// A random sample of at most @p count of @p nodes. Thread safety: none. Errors: none; there may be fewer.
[[nodiscard]] std::vector<Endpoint> sampleNodes(std::vector<Endpoint> nodes, std::size_t count, Random &random);

/// A random sample of at most @p count nodes of @p directory without @p own. Thread safety: none. Errors: none; there
/// may be fewer.
[[nodiscard]] std::vector<Endpoint> samplePeers(const InstanceDirectory &directory, const Endpoint &own,
                                                std::size_t count, Random &random);

/// A random node of each region except @p region. If all nodes of a region missed a change, only other regions have it.
/// Thread safety: none. Errors: none; a region without a ready upstream gives no node.
[[nodiscard]] std::vector<Endpoint> onePeerOfEachOtherRegion(const InstanceDirectory &directory,
                                                             const RegionName &region, Random &random);

}

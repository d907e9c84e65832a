#pragma once

#include <cstdint>

#include "core/digest.h"
#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// A short form of a node's address, for lists of nodes that travel with each answer. Two nodes of a large fleet may
/// have the same hash; it must only be used where that does little harm.
using NodeHash = StrongType<struct NodeHashTag, std::uint32_t>;

/// The hash of the node at @p node, the same in all processes. Thread safety: safe.
[[nodiscard]] inline NodeHash hashOf(const Endpoint &node)
{
    return NodeHash(static_cast<std::uint32_t>(stableHash(node.value())));
}

}

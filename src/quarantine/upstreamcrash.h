#pragma once

#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// Names one crash of an upstream; drawn at random by the node beside it, which alone sees it.
using UpstreamCrashId = StrongType<struct UpstreamCrashIdTag, std::uint64_t>;

}

#pragma once

#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// Returns a seed from the operating system's source of randomness. Thread safety: safe. Errors: none.
[[nodiscard]] std::uint64_t systemSeed();

/// Returns a random incarnation for this run of the process, never zero. It does not depend on the seed in the
/// settings: two runs with the same seed have two different incarnations. Thread safety: safe. Errors: none.
[[nodiscard]] Incarnation drawIncarnation();

}

#pragma once

#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// A seed from the system's own source of randomness. Thread safety: safe. Errors: none.
[[nodiscard]] std::uint64_t systemSeed();

/// An incarnation for this run of the process, never zero. Never from the seed of the settings: two runs with the same
/// seed are still two incarnations. Thread safety: safe. Errors: none.
[[nodiscard]] Incarnation drawIncarnation();

}

#pragma once

#include <cstddef>
#include <span>

#include "core/random.h"

namespace Egretpath
{

/// Index drawn with a chance proportional to its weight; weights of zero or less are never drawn.
///
/// Precondition: at least one weight is above zero. Thread safety: as @p random. Errors: none.
[[nodiscard]] std::size_t drawWeighted(std::span<const double> weights, Random &random);

/// A value in [0, 1). Thread safety: as @p random. Errors: none.
[[nodiscard]] double drawUnit(Random &random);

}

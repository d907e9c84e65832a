#pragma once

#include <optional>
#include <string_view>

#include "core/clock.h"

namespace Egretpath
{

/// Reads a duration that is written as a number and a unit, `ms` or `s`: "1500ms", "2.5s". Returns nullopt for any
/// other text, for a negative number, and for more than a year. Thread safety: safe. Errors: none.
[[nodiscard]] std::optional<Milliseconds> durationFromText(std::string_view text);

}

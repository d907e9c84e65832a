#pragma once

#include <optional>
#include <string_view>

#include "core/clock.h"

namespace Egretpath
{

/// A time written as a number and its unit, `ms` or `s`: "1500ms", "2.5s". Nothing for any other text, a negative
/// number, or more than a year. Thread safety: safe. Errors: none.
[[nodiscard]] std::optional<Milliseconds> durationFromText(std::string_view text);

}

#pragma once

#include <cstdint>
#include <string_view>

namespace Egretpath
{

/// Returns the value of @p key in a log line of a node, without quotes; empty if the line does not have the key.
/// Thread safety: safe. Errors: none.
[[nodiscard]] std::string_view logField(std::string_view line, std::string_view key);
/// Returns the value of @p key as an integer; zero if the line has no such number. Thread safety: safe. Errors: none.
[[nodiscard]] std::int64_t logNumber(std::string_view line, std::string_view key);

}

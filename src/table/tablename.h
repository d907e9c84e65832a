#pragma once

#include <string_view>

namespace Egretpath
{

/// What isTableName() accepts, for messages to operators.
inline constexpr std::string_view AllowedTableName = "1 to 63 letters, digits, '.', '_' and '-' of ASCII";

/// Whether @p text can name a service, a region, a zone or an upstream. Such names need no quotes in CSV, in
/// headers, in log lines or in keys. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] bool isTableName(std::string_view text);

}

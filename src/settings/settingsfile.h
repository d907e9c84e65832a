#pragma once

#include <string>

#include <toml++/toml.h>

#include "settings/settingsproblem.h"

namespace Egretpath
{

/// Returns the text of the settings file at @p path. Errors: a problem if the file can't be read or is empty.
/// Thread safety: safe.
[[nodiscard]] SettingsResult<std::string> readSettingsFile(const std::string &path);

/// Whether each read of the file at @p path returns all of it, unlike that of a pipe. True for a missing file, as it
/// may be about to be replaced. Thread safety: safe. Errors: none.
[[nodiscard]] bool canBeReadAgain(const std::string &path);

/// Formats a value for a problem: text without quotes, all other types as TOML. Thread safety: safe. Errors: none.
[[nodiscard]] std::string formatValue(const toml::node &node);

/// Returns the problem to report for text that is not TOML. Thread safety: safe. Errors: none.
[[nodiscard]] SettingsProblems syntaxProblem(const toml::parse_error &error, std::string_view file);

}

#pragma once

#include <string>

#include <toml++/toml.h>

#include "settings/settingsproblem.h"

namespace Egretpath
{

/// The text of the settings file at @p path. Errors: a problem if it can't be read or is empty. Thread safety: safe.
[[nodiscard]] SettingsResult<std::string> readSettingsFile(const std::string &path);

/// A value as a problem shows it: text without quotes, all else as TOML. Thread safety: safe. Errors: none.
[[nodiscard]] std::string shownValue(const toml::node &node);

/// The problem of text that is no TOML. Thread safety: safe. Errors: none.
[[nodiscard]] SettingsProblems syntaxProblem(const toml::parse_error &error, std::string_view file);

}

#pragma once

#include <string>
#include <string_view>

#include "settings/nodesettings.h"
#include "settings/settingsproblem.h"

namespace Egretpath
{

/// Reads and checks a node's settings from TOML.
///
/// Settings with any problem aren't accepted in part: a node that started on half of its settings would
/// serve with limits that nobody wrote. Thread safety: all methods may be called from any thread at once.
class NodeSettingsReader
{
public:
    /// Reads settings from @p text; @p file only names them in problems.
    /// Errors: all unknown keys, wrong types and values out of range at once; of text that is no TOML the first
    /// error, since its rest can't be read.
    [[nodiscard]] static SettingsResult<NodeSettings> read(std::string_view text, std::string_view file);

    /// Reads settings from the file at @p path. Errors: as read(), or a problem if the file can't be read.
    [[nodiscard]] static SettingsResult<NodeSettings> readFile(const std::string &path);
};

/// The word for @p level in settings. Thread safety: safe.
[[nodiscard]] std::string_view toString(LogLevel level);

}

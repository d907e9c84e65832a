#pragma once

#include <optional>
#include <string>

#include "client/command.h"
#include "core/strongtype.h"
#include "table/table.h"

namespace Egretpath
{

/// Files of tables and of published values. Thread safety: all methods may be called from any thread at once.
class TableFile
{
public:
    /// A table, or why there is none.
    struct Loaded
    {
        /// Null unless code is ExitCode::Fine.
        TablePointer table;
        ExitCode code = ExitCode::BadUsage;
    };

    /// Reads and checks the table at @p path. Errors: ExitCode::BadUsage if the file can't be read,
    /// ExitCode::No if the table has problems; both are reported to @p output.
    [[nodiscard]] static Loaded load(const std::string &path, TableNumber number, const CommandOutput &output);

    /// The content of the file at @p path, at most one byte more than a table may have.
    /// Errors: nothing if the file can't be read.
    [[nodiscard]] static std::optional<std::string> read(const std::string &path);

    /// Writes a new file at @p path. Errors: false if it can't be written whole.
    [[nodiscard]] static bool write(const std::string &path, const std::string &content);
};

}

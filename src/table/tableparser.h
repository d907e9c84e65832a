#pragma once

#include <cstddef>
#include <string_view>

#include "table/table.h"
#include "table/tableproblem.h"

namespace Egretpath
{

class TableBuilder;

/// Reads tables from CSV. Each line is one row; cells may be quoted, but hold no line breaks.
///
/// Thread safety: all methods may be called from any thread at once.
class TableParser
{
public:
    /// Bytes that a file may have.
    static constexpr std::size_t FileCap = 16UL * 1024 * 1024;

    /// Reads a whole table. @p file only names the source in problems.
    /// Errors: all problems of the file at once; nothing of a table with a problem is kept.
    [[nodiscard]] static TableResult<TablePointer> parse(std::string_view text, std::string_view file,
                                                         TableNumber number);

    /// Reads the rows and problems of one of several files into @p builder.
    /// Errors: collected in @p builder.
    static void parseInto(TableBuilder &builder, std::string_view text, std::string_view file);

    /// Reads one row as TableRow::canonicalText() wrote it, without a header or line end. @p source names where it
    /// comes from in problems. Errors: all problems of the row.
    [[nodiscard]] static TableResult<TableRow> parseRow(std::string_view text, std::string_view source);
};

}

#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <csv.h>

namespace Egretpath
{

/// Splits single lines of CSV into cells with libcsv.
///
/// Reading line by line keeps an unclosed quote from swallowing the lines after it, and makes the row
/// number of a problem the line that a spreadsheet shows. Thread safety: none.
class CsvLineReader
{
public:
    CsvLineReader();
    ~CsvLineReader();
    CsvLineReader(const CsvLineReader &) = delete;
    CsvLineReader &operator=(const CsvLineReader &) = delete;

    /// Replaces @p cells by the cells of @p line; an empty line has none. Spaces around a cell are dropped.
    /// Preconditions: @p line holds no line break. Errors: false for an unclosed or misplaced quote; the
    /// reader can be used further.
    [[nodiscard]] bool read(std::string_view line, std::vector<std::string> &cells);

private:
    csv_parser parser_{};
};

}

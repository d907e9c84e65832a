#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "table/csvlinereader.h"
#include "table/tablecolumns.h"

namespace Egretpath
{

class TableBuilder;

/// The texts of one row by column; an absent column is an empty cell.
using TableRowCells = std::array<std::string_view, TableColumnCount>;

/// Reads the lines of one file, or of one part of a published table, into a builder. Thread safety: none.
class TableFileReader
{
public:
    /// Preconditions: @p builder outlives this reader. @p file names the source in problems.
    TableFileReader(TableBuilder &builder, std::string_view file);

    /// Reads a whole file with its header line. Errors: collected in the builder.
    void readFile(std::string_view text);
    /// Makes this reader ready for rows in canonical order, without a header line.
    void useCanonicalHeader();
    /// Reads the next line: the header, if none was read yet, or a row.
    /// Preconditions: @p line holds no line feed. Errors: collected in the builder.
    void readLine(std::string_view line);

private:
    void addProblem(std::string_view column, std::string value, std::string allowed);
    void readHeader();
    void readColumn(const std::string &name);
    void readRow();
    void readCells(const TableRowCells &cells);
    bool checkNames(const TableRowCells &cells);
    std::optional<std::uint64_t> readNumber(TableRowKind kind, TableColumn column, std::string_view cell);

    TableBuilder &builder_;
    std::string file_;
    CsvLineReader lines_;
    std::size_t row_ = 0;
    bool canGoOn_ = true;
    std::vector<std::string> cells_;
    /// For each cell of a line its column; nothing for a column that isn't known.
    std::vector<std::optional<TableColumn>> columns_;
    std::array<bool, TableColumnCount> hasColumn_{};
};

}

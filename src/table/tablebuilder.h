#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "table/table.h"
#include "table/tableproblem.h"

namespace Egretpath
{

/// Collects rows and problems, checks the rows against each other, and makes the table.
///
/// A table with any problem isn't made at all. Thread safety: none.
class TableBuilder
{
public:
    /// Rows that a table may have.
    static constexpr std::size_t RowCap = 100'000;
    /// Problems that are kept one by one; a last one counts those beyond. A node that is fed a broken
    /// table of 16 MiB would otherwise spend its whole memory on messages.
    static constexpr std::size_t ProblemCap = 10'000;

    /// Adds a row that stands at line @p row of @p file (0 for a row that isn't from a file).
    /// Preconditions: the row is in range by itself. Errors: collected until build().
    void addRow(TableRow tableRow, std::string_view file, std::size_t row);
    /// Adds a problem; build() will then fail.
    void addProblem(TableProblem problem);
    /// Whether a problem was added so far.
    [[nodiscard]] bool hasProblems() const { return !problems_.empty(); }
    /// Makes the table and leaves the builder empty. @p source names the whole table in problems.
    /// Errors: all problems, in the order of the files and rows.
    [[nodiscard]] TableResult<TablePointer> build(TableNumber number, std::string_view source);
    /// The rows in the order in which they were added, without the checks against each other; leaves the builder
    /// unspecified. Errors: all problems, in the order of the files and rows.
    [[nodiscard]] TableResult<std::vector<TableRow>> takeRows(std::string_view source);

private:
    struct Source
    {
        TableRow tableRow;
        std::uint32_t file = 0;
        std::uint32_t row = 0;
    };

    std::uint32_t fileIndex(std::string_view file);
    void addConflict(const Source &earlier, const Source &later, std::string_view column, std::string value);
    void checkUniqueKeys();
    void checkUniqueUpstreams();
    void checkServices(std::string_view source);
    [[nodiscard]] TableProblems takeProblems(std::string_view source);
    [[nodiscard]] TablePointer makeTable(TableNumber number) const;

    static void append(Table::Policies &policies, const ServicePolicy &policy);
    static void append(Table::Policies &policies, const RegionPolicy &policy);
    static void append(Table::Policies &policies, const SpillPolicy &policy);
    static void append(Table::Policies &policies, const UpstreamPolicy &policy);

    std::vector<std::string> files_;
    std::vector<Source> sources_;
    TableProblems problems_;
    std::size_t droppedProblems_ = 0;
    bool tooManyRows_ = false;
};

}

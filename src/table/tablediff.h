#pragma once

#include <string>
#include <vector>

#include "table/table.h"
#include "table/tableproblem.h"

namespace Egretpath
{

/// What turns one table into another. Plain data, so that nodes can pass it on.
struct TableChange
{
    /// The table that the change applies to.
    TableVersion base;
    /// The table that results.
    TableVersion target;
    /// Rows that are new or have other values, sorted by key.
    std::vector<TableRow> changed;
    /// Rows that go, sorted by key.
    std::vector<TableRowKey> removed;

    friend bool operator==(const TableChange &, const TableChange &) = default;
};

/// Computes, applies and explains changes. Thread safety: all methods may be called from any thread at once.
class TableDiff
{
public:
    /// What turns @p base into @p target. Preconditions: none. Errors: none.
    [[nodiscard]] static TableChange between(const Table &base, const Table &target);

    /// The table that @p change makes of @p base. Errors: problems when @p base isn't the table that the change
    /// is for, when rows to remove are missing, when the resulting rows don't make a table, or when their
    /// digest isn't the one that the change announces. A change that arrived damaged, or of another
    /// base, is thus never put in force.
    [[nodiscard]] static TableResult<TablePointer> apply(const Table &base, const TableChange &change);

    /// What @p change will do, a sentence each in plain language, for example
    /// `upstream arrangements-3: weight 100 -> 0: drains`. First what changes or is new, then what is removed, each
    /// sorted by key. Preconditions: @p change is for @p base. Errors: none.
    [[nodiscard]] static std::vector<std::string> describe(const Table &base, const TableChange &change);
};

}

#pragma once

#include <string_view>
#include <vector>

#include "table/table.h"
#include "table/tableproblem.h"

namespace Egretpath
{

/// Makes a table out of another one at the cost of a copy: only the rows that change are checked and hashed.
///
/// Thread safety: all methods may be called from any thread at once.
class TableEditor
{
public:
    /// @p base without the rows of @p removed, and with those of @p changed in place of, or besides, its own.
    /// Preconditions: each row of @p changed is in range by itself. Errors: a removed row that isn't there, a row
    /// or an upstream that would be there twice, rows of a service without a service row, no service at all, too
    /// many rows; @p source names the change in problems.
    [[nodiscard]] static TableResult<TablePointer> edit(const Table &base, const std::vector<TableRow> &changed,
                                                        const std::vector<TableRowKey> &removed, TableNumber number,
                                                        std::string_view source);
};

}

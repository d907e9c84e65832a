#pragma once

#include <string>
#include <string_view>

#include "table/tablediff.h"

namespace Egretpath
{

/// The text form in which nodes pass changes of a table on: a line `= row` for each row that is new or has other
/// values, a line `- service,region,upstream` for each that goes.
///
/// Thread safety: all methods may be called from any thread at once.
class TableChangeCodec
{
public:
    /// Preconditions: none. Errors: none.
    [[nodiscard]] static std::string encode(const TableChange &change);
    /// Reads what encode() wrote. Errors: the first problem.
    [[nodiscard]] static TableResult<TableChange> decode(const TableVersion &base, const TableVersion &target,
                                                         std::string_view text);
};

}

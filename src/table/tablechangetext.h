#pragma once

#include <string>
#include <vector>

#include "table/table.h"
#include "table/tablediff.h"

namespace Egretpath
{

/// What TableDiff::describe() returns. Preconditions, errors: see there. Thread safety: safe.
[[nodiscard]] std::vector<std::string> describeChange(const Table &base, const TableChange &change);

}

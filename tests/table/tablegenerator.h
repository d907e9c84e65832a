#pragma once

#include <rapidcheck.h>

#include "table/table.h"

namespace Egretpath
{

/// A random table of few services, regions and upstreams, so that two of them share many rows.
[[nodiscard]] rc::Gen<TablePointer> anyTable();

/// A random version; numbers and digests often coincide.
[[nodiscard]] rc::Gen<TableVersion> anyVersion();

/// The table in @p text; throws if it has problems.
[[nodiscard]] TablePointer tableFrom(const std::string &text, std::uint64_t number = 1);

}

#pragma once

#include <compare>

#include "core/digest.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Which table: the operators' number, then the digest of the content.
///
/// The order is total, so that two tables published under one number end in the same one everywhere:
/// the one with the larger digest.
struct TableVersion
{
    TableNumber number;
    Digest digest;

    friend auto operator<=>(const TableVersion &, const TableVersion &) = default;
};

}

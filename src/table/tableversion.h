#pragma once

#include <compare>
#include <string>

#include "core/digest.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Which table this is: the operators' number first, then the digest of the rows.
///
/// The order is total, so that any two nodes that see the same two tables keep the same one, in
/// whatever order they saw them and without talking to each other. Two operators may publish under the
/// same number at once; the larger digest then wins everywhere. That choice is arbitrary, but it is the same
/// on every node, needs no clock and no coordination, and the loser is visible because its digest is
/// shown nowhere as the one in force.
///
/// A default constructed version is older than every table that can be published.
struct TableVersion
{
    TableNumber number;
    Digest digest;

    friend auto operator<=>(const TableVersion &, const TableVersion &) = default;
};

/// `<number>/<32 hexadecimal digits>`, for logs and metrics. Preconditions: none. Thread safety: safe. Errors: none.
[[nodiscard]] std::string toString(const TableVersion &version);

}

#pragma once

#include "core/digest.h"
#include "table/tablerow.h"

namespace Egretpath
{

/// The digest of a set of rows: the sum, modulo 2^128, of the digests of their canonical texts.
///
/// It doesn't depend on the order of the rows, so a change of a few rows costs as much as those rows
/// and not as much as the table. It finds lost, mixed and damaged rows; it is no defence against forgery.
/// Thread safety: none; a value that is copied between threads is fine.
class TableDigest
{
public:
    /// The digest of no rows.
    TableDigest() = default;
    /// Continues from the digest of a table. Preconditions: @p start is a TableDigest's value().
    explicit TableDigest(const Digest &start);

    /// Preconditions: @p row is not in the set. Errors: none.
    void add(const TableRow &row);
    /// Preconditions: @p row is in the set. Errors: none.
    void remove(const TableRow &row);
    /// Thread safety: safe for concurrent reads.
    [[nodiscard]] const Digest &value() const { return sum_; }

private:
    Digest sum_;
};

}

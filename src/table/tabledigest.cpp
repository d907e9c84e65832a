#include "table/tabledigest.h"

namespace Egretpath
{

TableDigest::TableDigest(const Digest &start)
    : sum_(start)
{
}

void TableDigest::add(const TableRow &row)
{
    const Digest digest = digestOf(row.canonicalText());
    sum_.low += digest.low;
    const std::uint64_t carry = sum_.low < digest.low ? 1 : 0;
    sum_.high += digest.high + carry;
}

void TableDigest::remove(const TableRow &row)
{
    const Digest digest = digestOf(row.canonicalText());
    const std::uint64_t borrow = sum_.low < digest.low ? 1 : 0;
    sum_.low -= digest.low;
    sum_.high -= digest.high + borrow;
}

}

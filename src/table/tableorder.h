#pragma once

#include "table/tablerow.h"

namespace Egretpath
{

/// Where a row stands among the rows of its kind inside a Table. Upstreams are sorted by service, then name,
/// so that those of a service stand together in the order of their names; rows of other kinds by their key.
/// Thread safety: safe. Errors: none.
[[nodiscard]] inline TableRowKeyView orderOf(const ServicePolicy &policy)
{
    return {policy.service.value(), {}, {}};
}

/// @copydoc orderOf
[[nodiscard]] inline TableRowKeyView orderOf(const RegionPolicy &policy)
{
    return {{}, policy.region.value(), {}};
}

/// @copydoc orderOf
[[nodiscard]] inline TableRowKeyView orderOf(const SpillPolicy &policy)
{
    return {policy.service.value(), policy.region.value(), {}};
}

/// @copydoc orderOf
[[nodiscard]] inline TableRowKeyView orderOf(const UpstreamPolicy &policy)
{
    return {policy.service.value(), {}, policy.upstream.value()};
}

/// Whether @p left stands before @p right inside a Table. Thread safety: safe. Errors: none.
struct TableOrder
{
    template<typename Policy>
    [[nodiscard]] bool operator()(const Policy &left, const Policy &right) const
    {
        return orderOf(left) < orderOf(right);
    }
};

}

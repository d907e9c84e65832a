#pragma once

#include <cstddef>
#include <set>

#include "instances/instancerecord.h"

namespace Egretpath
{

/// Remembers the revisions of the store at which a reader has seen changes, and tells by them whether a later revision
/// of the store may hold changes that it has not seen.
///
/// The store's counter rises with each change, and a change has a revision of its own. A reader that watches several
/// prefixes has missed nothing if it has seen a change, under any of them, at each revision up to the store's. Load
/// pattern: changes under one prefix, which would otherwise cost calls for each other one. Thread safety: none.
/// Errors: none.
class ChangeAccount
{
public:
    /// A change with @p revision was seen.
    void record(StoreRevision revision);
    /// Whether a change was seen at each revision after @p from up to and including @p to.
    [[nodiscard]] bool hasSeenAll(StoreRevision from, StoreRevision to) const;
    /// Forgets the changes up to @p revision, from which on nobody asks.
    void forgetUpTo(StoreRevision revision);
    [[nodiscard]] std::size_t size() const { return revisions_.size(); }

private:
    std::set<StoreRevision> revisions_;
};

}

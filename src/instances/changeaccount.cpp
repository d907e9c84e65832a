#include "instances/changeaccount.h"

#include <iterator>

namespace Egretpath
{

namespace
{

/// The oldest revisions are forgotten beyond this number, and changes up to them count as not seen.
constexpr std::size_t MaxRevisions = 4096;

}

void ChangeAccount::record(StoreRevision revision)
{
    revisions_.insert(revision);
    if (revisions_.size() > MaxRevisions) {
        revisions_.erase(revisions_.begin());
    }
}

bool ChangeAccount::hasSeenAll(StoreRevision from, StoreRevision to) const
{
    if (to <= from) {
        return true;
    }
    const std::size_t needed = to.value() - from.value();
    const auto first = revisions_.upper_bound(from);
    const auto end = revisions_.upper_bound(to);
    return needed <= revisions_.size() && static_cast<std::size_t>(std::distance(first, end)) == needed;
}

void ChangeAccount::forgetUpTo(StoreRevision revision)
{
    revisions_.erase(revisions_.begin(), revisions_.upper_bound(revision));
}

}

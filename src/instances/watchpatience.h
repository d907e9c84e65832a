#pragma once

#include <optional>

#include "core/clock.h"
#include "instances/catalogtimes.h"

namespace Egretpath
{

/// Decides how long the watch of a node that reads the store may bring nothing before the store is read beside it.
///
/// A store may answer all calls while its watches bring nothing, although changes are made. That looks like a store
/// without changes, except during a series of changes, when an answer is due. Load pattern: changes in quick
/// succession. A change that comes alone costs no further call. Thread safety: none. Errors: none.
class WatchPatience
{
public:
    explicit WatchPatience(const CatalogTimes &times)
        : times_(times)
    {
    }

    /// The watch brought changes after it had waited for @p waited.
    void recordChanges(Duration waited);
    /// The watch brought nothing for as long as wait() said, and the store was read beside it. @p hadChanges: the read
    /// brought changes.
    void recordRead(bool hadChanges);
    /// How long the watch may bring nothing from now on before the store is read; nothing if it may wait as long as the
    /// store allows.
    [[nodiscard]] std::optional<Milliseconds> wait() const;

private:
    CatalogTimes times_;
    /// Number of answers in a row for which the watch waited only briefly.
    unsigned quickAnswers_ = 0;
    /// Whether the last read brought changes that the watch had not brought.
    bool isWatchSilent_ = false;
};

}

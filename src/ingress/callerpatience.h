#pragma once

#include <map>
#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Tells from how long a caller still waits how long it has been trying.
///
/// Callers of one route begin with the same patience; one that comes back after a refusal brings what is left of it.
/// Its target counts from its first attempt, so that it must not be taken for a fresh one, which can still be answered
/// in time. Thread safety: none; one owner. Errors: none.
class CallerPatience
{
public:
    /// Records @p patience of a request of @p route. Returns how long its caller has been trying; zero if it seems to
    /// be a first attempt or little is known.
    [[nodiscard]] Milliseconds record(const RouteName &route, Milliseconds patience);
    /// What most callers of @p route begin with; zero if none was seen.
    [[nodiscard]] Milliseconds usual(const RouteName &route) const;
    /// Forgets all, for when the routes change.
    void clear() { routes_.clear(); }

private:
    /// How often each patience was seen lately.
    using Counts = std::map<Milliseconds, double>;

    [[nodiscard]] static Counts::const_iterator mostFrequent(const Counts &counts);

    std::unordered_map<RouteName, Counts> routes_;
};

}

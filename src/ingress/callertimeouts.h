#pragma once

#include <map>
#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Estimates how long a caller has been trying, from its timeout: the time for which the caller still waits.
///
/// A caller that retries after a refusal sends what is left of its timeout. The target latency counts from the first
/// attempt, so a retry must not be treated like a first attempt, which can still be answered in time.
///
/// Callers of one route start either with the same timeout or with timeouts that are up to a fifth apart. In the second
/// case a smaller timeout alone does not show a retry: a first attempt that counted as one would lose up to a fifth of
/// its timeout, which is more than the whole target latency of routes whose timeout is much longer than their target.
///
/// Thread safety: none; one owner. Errors: none.
class CallerTimeouts
{
public:
    /// Records the @p timeout of a request of @p route. Returns how long its caller has been trying. Returns zero if
    /// the request seems to be a first attempt or if there are too few earlier requests.
    [[nodiscard]] Milliseconds record(const RouteName &route, Milliseconds timeout);
    /// Returns the timeout with which most callers of @p route start, or the longest usual one if they start with
    /// different timeouts; zero if there are too few requests.
    [[nodiscard]] Milliseconds typical(const RouteName &route) const;
    /// Removes all records. Call it when the routes change.
    void clear() { routes_.clear(); }

private:
    /// For each timeout, the decaying count of the requests that had it.
    using Counts = std::map<Milliseconds, double>;

    /// The timeouts of first attempts.
    struct FirstAttempts
    {
        Milliseconds shortest{0};
        Milliseconds longest{0};
    };

    [[nodiscard]] FirstAttempts firstAttempts(const RouteName &route) const;
    /// The timeout that a tenth of the requests exceed.
    [[nodiscard]] static Milliseconds longestUsual(const Counts &counts, double total);

    std::unordered_map<RouteName, Counts> routes_;
};

}

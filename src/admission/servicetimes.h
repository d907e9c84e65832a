#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// How long one upstream works on the requests of each route when its VM runs at its usual pace.
///
/// What it measured is divided by the pace of that time, so that a spell of slowness is not taken for longer work.
/// Beside the usual times it keeps by how much the upstream itself is slower lately. That fades without new evidence,
/// so that an upstream which was left alone because of it is tried again. Thread safety: none; one owner. Errors: none.
class ServiceTimes
{
public:
    /// A request of @p route took @p duration while work took @p pace times as long as usual. Precondition: pace > 0.
    void record(const RouteName &route, Duration duration, double pace, TimePoint now);
    /// A request was given up after @p duration: it would have taken longer. Shorter than usual it says nothing.
    void recordUnfinished(const RouteName &route, Duration duration, double pace, TimePoint now);
    /// How many times longer than usual the upstream takes lately, its VM's pace aside; 1 or more.
    [[nodiscard]] double slowness(TimePoint now) const;
    /// The mean of @p route; of all routes for one that was not seen; a default before any was.
    [[nodiscard]] Duration usual(const RouteName &route) const;
    /// The mean over all routes; the same default.
    [[nodiscard]] Duration overall() const;

private:
    void recordSlowness(double ratio, TimePoint now);

    std::unordered_map<RouteName, double> microseconds_;
    double overallMicroseconds_ = 0.0;
    /// By how much slowness exceeds one, at slownessTime_.
    double excess_ = 0.0;
    TimePoint slownessTime_;
};

}

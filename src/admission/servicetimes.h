#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// How long a request was at work, and the VM's pace meanwhile.
struct WorkDuration
{
    Duration elapsed{0};
    /// How many times longer than usual work took when it began; above 0.
    double startSlowdown = 1.0;
    /// What the work would have taken at the usual pace, if it changed its pace with the VM.
    Duration followingSlowdown{0};
};

/// How long one upstream works on the requests of each route when its VM runs at its usual pace.
///
/// What it measured is divided by the pace of that time, so that a spell of slowness is not taken for longer work.
/// Beside the usual times it keeps by how much the upstream itself is slower lately. That fades without new evidence,
/// so that an upstream which was left alone because of it is tried again. Thread safety: none; one owner. Errors: none.
class ServiceTimes
{
public:
    /// A request of @p route is done.
    void record(const RouteName &route, const WorkDuration &work, TimePoint now);
    /// A request was given up: it would have taken longer. Shorter than usual it says nothing.
    void recordUnfinished(const RouteName &route, const WorkDuration &work, TimePoint now);
    /// Whether work seems to keep to its end the pace of the moment at which it began; true until something speaks
    /// against it.
    [[nodiscard]] bool workKeepsItsPace() const { return slowdownEvidence_ >= 0.0; }
    /// How many times longer than usual the upstream takes lately, its VM's pace aside; 1 or more.
    [[nodiscard]] double slowness(TimePoint now) const;
    /// The mean of @p route; of all routes for one that was not seen; a default before any was.
    [[nodiscard]] Duration baseline(const RouteName &route) const;
    /// The mean over all routes; the same default.
    [[nodiscard]] Duration overall() const;

private:
    void recordSlowness(double ratio, TimePoint now);
    [[nodiscard]] double atBaselineSlowdown(const WorkDuration &work) const;
    void recordSlowdownEvidence(const WorkDuration &work, double baseline);

    std::unordered_map<RouteName, double> microseconds_;
    double overallMicroseconds_ = 0.0;
    /// By how much slowness exceeds one, at slownessTime_.
    double excess_ = 0.0;
    TimePoint slownessTime_;
    /// By how much better the pace at its start foretells the length of work than the pace on the way; negative if the
    /// latter is better.
    double slowdownEvidence_ = 0.0;
};

}

#pragma once

#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// How long the upstream worked on a request, and the VM's slowdown during that time.
struct WorkDuration
{
    Duration elapsed{0};
    /// The VM's slowdown factor when the work began; above 0.
    double startSlowdown = 1.0;
    /// The time that the work would have taken at the baseline speed, if its speed followed the VM's slowdown
    /// throughout.
    Duration baselineElapsed{0};
};

/// Estimates how long one upstream works on the requests of each route while its VM runs at the baseline speed.
///
/// Measured durations are divided by the VM's slowdown at that time, so that a slow period is not mistaken for longer
/// work. The class also estimates how much slower the upstream itself has been lately. That estimate decays without new
/// evidence, so that an upstream that received no requests because of it is tried again.
///
/// Thread safety: none; one owner. Errors: none.
class ServiceTimes
{
public:
    /// Records a completed request of @p route.
    void record(const RouteName &route, const WorkDuration &work, TimePoint now);
    /// Records a request that was given up before it completed. The full duration would have been longer than @p work,
    /// so the request is ignored if @p work is not longer than the baseline.
    void recordUnfinished(const RouteName &route, const WorkDuration &work, TimePoint now);
    /// Whether work appears to keep the slowdown at which it began until it ends, whatever the VM does meanwhile. True
    /// until there is evidence against it.
    [[nodiscard]] bool keepsStartSlowdown() const { return startSlowdownEvidence_ >= 0.0; }
    /// How many times longer than the baseline the upstream has taken lately, apart from the VM's slowdown; 1 or more.
    [[nodiscard]] double upstreamSlowdown(TimePoint now) const;
    /// The mean duration of @p route at the baseline speed. For a route without requests, the mean of all routes; a
    /// default value before any request was recorded.
    [[nodiscard]] Duration baseline(const RouteName &route) const;
    /// The mean duration over all routes; the same default value before any request was recorded.
    [[nodiscard]] Duration overall() const;

private:
    void recordUpstreamSlowdown(double ratio, TimePoint now);
    [[nodiscard]] double baselineMicroseconds(const WorkDuration &work) const;
    void recordStartSlowdownEvidence(const WorkDuration &work, double baseline);

    std::unordered_map<RouteName, double> baselineMicroseconds_;
    double overallMicroseconds_ = 0.0;
    /// The excess of upstreamSlowdown() over 1 at excessSlowdownTime_.
    double excessSlowdown_ = 0.0;
    TimePoint excessSlowdownTime_;
    /// How much better the slowdown at the start of the work predicts its duration than the slowdown throughout the
    /// work does; negative if the latter predicts better.
    double startSlowdownEvidence_ = 0.0;
};

}

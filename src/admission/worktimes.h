#pragma once

#include <cstdint>
#include <unordered_map>

#include "admission/offeroutcome.h"
#include "admission/servicetimes.h"
#include "admission/vmslowdown.h"
#include "admission/workoffer.h"
#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// A request that the upstream is running.
struct RunningCall
{
    RouteName route;
    std::uint8_t priority = 0;
    TimePoint start;
    /// The VM's slowdown factor at the start.
    double slowdown = 1.0;
    UpstreamName disconnectedUpstream;
    /// Whether it started above the upstream's fill limit.
    bool isAboveLimit = false;
};

using RunningCalls = std::unordered_map<CallId, RunningCall>;

/// Estimates how long the upstream works on requests, from the durations of earlier requests and the VM's slowdown.
///
/// Thread safety: none; one owner. Errors: none.
class WorkTimes
{
public:
    /// @p waitsForSlowPeriodEnd: whether requests start after a slow period of the VM if that is quicker.
    explicit WorkTimes(bool waitsForSlowPeriodEnd)
        : waitsForSlowPeriodEnd_(waitsForSlowPeriodEnd)
    {
    }

    /// Records the VM's slowdown factor. Preconditions: those of VmSlowdown::record().
    void recordSlowdown(double factor, TimePoint now) { slowdown_.record(factor, now); }
    /// Records that the upstream has finished with @p running. If it was not @p answered, the time until @p now is the
    /// least that the full duration would have been. Ignores a call that started above the upstream's fill limit.
    void recordEnd(const RunningCall &running, bool answered, TimePoint now);

    [[nodiscard]] const VmSlowdown &slowdown() const { return slowdown_; }
    [[nodiscard]] const ServiceTimes &service() const { return service_; }

    /// Expected duration of a request of @p route that starts now, or after the slow period if that is quicker.
    [[nodiscard]] Duration serviceTime(const RouteName &route, TimePoint now) const;
    /// Whether requests wait for the end of slow periods at all. They don't if the speed of work follows the VM's
    /// slowdown.
    [[nodiscard]] bool mayWaitForSlowPeriodEnd() const;
    /// Whether a request of @p route ends sooner if it starts after the VM's slow period than if it starts now.
    [[nodiscard]] bool waitsForSlowPeriodEnd(const RouteName &route, TimePoint now) const;
    /// Whether requests of @p route take at most half of the mean time of all work at the upstream.
    [[nodiscard]] bool isShort(const RouteName &route) const;
    /// Whether @p offer misses its target if it begins at @p start.
    [[nodiscard]] bool isLate(const WorkOffer &offer, TimePoint start, TimePoint now) const;
    /// Expected time until @p running ends.
    [[nodiscard]] Duration timeLeft(const RunningCall &running, TimePoint now) const;
    /// How many times longer than expected the upstream takes, judged by its answers and by the @p running requests.
    [[nodiscard]] double upstreamSlowdown(const RunningCalls &running, TimePoint now) const;

private:
    bool waitsForSlowPeriodEnd_;
    ServiceTimes service_;
    VmSlowdown slowdown_;
};

}

#include "admission/worktimes.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// A running call that takes longer than this multiple of its expected time shows that the upstream is slow or has
/// stopped.
constexpr double OverdueFactor = 2.5;
/// A running call that has reached its expected time is assumed to need at least this share of it again.
constexpr double OverdueShare = 0.3;
/// A request is short if its work takes at most this part of the mean time of all work at the upstream.
constexpr int ShortWorkDivisor = 2;

}

void WorkTimes::recordEnd(const RunningCall &running, bool answered, TimePoint now)
{
    if (running.isAboveLimit) {
        // It took longer because the upstream was nearly full. If that counted, the route would be thought too slow to
        // start above the limit.
        return;
    }
    const WorkDuration work{now - running.start, running.slowdown, slowdown_.baselineTimeBetween(running.start, now)};
    if (answered) {
        service_.record(running.route, work, now);
    } else {
        // Guards against an upstream that answers so late that all its callers have given up. No answer would ever show
        // that it is slow, and it would look idle and receive more requests.
        service_.recordUnfinished(running.route, work, now);
    }
}

bool WorkTimes::isShort(const RouteName &route) const
{
    return service_.baseline(route) * ShortWorkDivisor <= service_.overall();
}

Duration WorkTimes::serviceTime(const RouteName &route, TimePoint now) const
{
    const double slowdown = waitsForSlowPeriodEnd(route, now) ? slowdown_.recoveredSlowdown(now) : slowdown_.factor();
    return scaled(service_.baseline(route), slowdown);
}

bool WorkTimes::mayWaitForSlowPeriodEnd() const
{
    return waitsForSlowPeriodEnd_ && service_.keepsStartSlowdown();
}

bool WorkTimes::waitsForSlowPeriodEnd(const RouteName &route, TimePoint now) const
{
    const Duration slowPeriod = slowdown_.slowPeriodLeft(now);
    if (slowPeriod == Duration{0} || !mayWaitForSlowPeriodEnd()) {
        return false;
    }
    const Duration baseline = service_.baseline(route);
    return slowPeriod + scaled(baseline, slowdown_.recoveredSlowdown(now)) < scaled(baseline, slowdown_.factor());
}

bool WorkTimes::isLate(const WorkOffer &offer, TimePoint start, TimePoint now) const
{
    return start + serviceTime(offer.route, now) > offer.target;
}

Duration WorkTimes::timeLeft(const RunningCall &running, TimePoint now) const
{
    const Duration expectedDuration = scaled(service_.baseline(running.route), running.slowdown);
    return std::max(expectedDuration - (now - running.start), scaled(expectedDuration, OverdueShare));
}

double WorkTimes::upstreamSlowdown(const RunningCalls &running, TimePoint now) const
{
    double sum = 0.0;
    for (const auto &[id, call] : running) {
        const Duration overdueAfter = scaled(service_.baseline(call.route), call.slowdown * OverdueFactor);
        sum += std::max(1.0, std::chrono::duration<double>(now - call.start) / overdueAfter);
    }
    const double mean = running.empty() ? 1.0 : sum / static_cast<double>(running.size());
    return std::max(service_.upstreamSlowdown(now), mean);
}

}

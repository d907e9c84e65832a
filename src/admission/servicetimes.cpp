#include "admission/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

/// Weight of the newest duration: the mean of about twenty, some seconds at ten requests a second.
constexpr double Gain = 0.05;
/// Before anything was measured; of the order of a request to a database.
constexpr double DefaultMicroseconds = 80'000.0;

/// Of the newest request in the slowness: work varies by a third, so that about three long ones in a row say something.
constexpr double SlownessGain = 0.2;
/// Time in which slowness falls to 1/e without a request: an upstream that was eight times slower is tried again after
/// about five seconds.
constexpr std::chrono::duration<double> SlownessMemory{2.5};
constexpr double LargestRatio = 10.0;
/// A sample counts at most so many times the mean.
constexpr double LargestSample = 3.0;

/// Natural logarithm; nearer together, the two ways to look at the pace tell about the same time.
constexpr double MinSlowdownDifference = 0.3;
/// Of the newest request in the evidence.
constexpr double SlowdownEvidenceGain = 0.1;

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

Duration fromMicroseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(count));
}

void blend(double &mean, double sample)
{
    mean += (mean > 0.0 ? Gain : 1.0) * (sample - mean);
}

}

void ServiceTimes::record(const RouteName &route, const WorkDuration &work, TimePoint now)
{
    const double sample = std::max(atBaselineSlowdown(work), 1.0);
    const bool known = microseconds_.contains(route);
    const double before = microseconds(baseline(route));
    if (known) {
        recordSlowness(sample / before, now);
        recordSlowdownEvidence(work, before);
    }
    // An upstream that turned slow must not look usual to itself after a few requests.
    const double bounded = known ? std::min(sample, LargestSample * before) : sample;
    blend(microseconds_[route], bounded);
    blend(overallMicroseconds_, bounded);
}

void ServiceTimes::recordUnfinished(const RouteName &route, const WorkDuration &work, TimePoint now)
{
    const double ratio = atBaselineSlowdown(work) / microseconds(baseline(route));
    if (ratio > 1.0 && microseconds_.contains(route)) {
        recordSlowness(ratio, now);
    }
}

double ServiceTimes::atBaselineSlowdown(const WorkDuration &work) const
{
    return workKeepsItsPace() ? microseconds(work.elapsed) / work.startSlowdown : microseconds(work.followingSlowdown);
}

void ServiceTimes::recordSlowdownEvidence(const WorkDuration &work, double baseline)
{
    const double keeping = std::max(microseconds(work.elapsed) / work.startSlowdown, 1.0);
    const double following = std::max(microseconds(work.followingSlowdown), 1.0);
    if (std::abs(std::log(keeping / following)) < MinSlowdownDifference) {
        return;
    }
    const double advantage = std::abs(std::log(following / baseline)) - std::abs(std::log(keeping / baseline));
    slowdownEvidence_ += SlowdownEvidenceGain * (advantage - slowdownEvidence_);
}

double ServiceTimes::slowness(TimePoint now) const
{
    const std::chrono::duration<double> age = std::max(now - slownessTime_, Duration{0});
    return 1.0 + excess_ * std::exp(-age / SlownessMemory);
}

void ServiceTimes::recordSlowness(double ratio, TimePoint now)
{
    const double current = slowness(now);
    excess_ = std::max(0.0, current + SlownessGain * (std::min(ratio, LargestRatio) - current) - 1.0);
    slownessTime_ = now;
}

Duration ServiceTimes::baseline(const RouteName &route) const
{
    const auto found = microseconds_.find(route);
    if (found != microseconds_.end()) {
        return fromMicroseconds(found->second);
    }
    return overall();
}

Duration ServiceTimes::overall() const
{
    return fromMicroseconds(overallMicroseconds_ > 0.0 ? overallMicroseconds_ : DefaultMicroseconds);
}

}

#include "admission/servicetimes.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

/// Weight of the newest duration in the mean. The mean covers about twenty requests, some seconds at ten requests a
/// second.
constexpr double MeanGain = 0.05;
/// Used before any duration was recorded; of the order of a database request.
constexpr double DefaultMicroseconds = 80'000.0;

/// Weight of the newest request in the upstream's slowdown. The duration of work varies by a third, so about three long
/// requests in a row are significant.
constexpr double UpstreamSlowdownGain = 0.2;
/// Time in which the excess slowdown falls to 1/e without a request. An upstream that was eight times slower is tried
/// again after about five seconds.
constexpr std::chrono::duration<double> UpstreamSlowdownMemory{2.5};
constexpr double MaxRatio = 10.0;
/// A sample is limited to this multiple of the mean.
constexpr double MaxSampleRatio = 3.0;

/// Minimum difference of the natural logarithms of the two estimates in recordStartSlowdownEvidence(). Closer estimates
/// give no evidence on whether work follows the VM's slowdown.
constexpr double MinLogDifference = 0.3;
/// Weight of the newest request in startSlowdownEvidence_.
constexpr double EvidenceGain = 0.1;

double toMicroseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

Duration fromMicroseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(count));
}

void updateMean(double &mean, double sample)
{
    mean += (mean > 0.0 ? MeanGain : 1.0) * (sample - mean);
}

}

void ServiceTimes::record(const RouteName &route, const WorkDuration &work, TimePoint now)
{
    const double sample = std::max(baselineMicroseconds(work), 1.0);
    const bool isKnownRoute = baselineMicroseconds_.contains(route);
    const double previousMean = toMicroseconds(baseline(route));
    if (isKnownRoute) {
        recordUpstreamSlowdown(sample / previousMean, now);
        recordStartSlowdownEvidence(work, previousMean);
    }
    // Without the limit, the baseline of an upstream that has become slow would rise to its slow durations after a few
    // requests.
    const double boundedSample = isKnownRoute ? std::min(sample, MaxSampleRatio * previousMean) : sample;
    updateMean(baselineMicroseconds_[route], boundedSample);
    updateMean(overallMicroseconds_, boundedSample);
}

void ServiceTimes::recordUnfinished(const RouteName &route, const WorkDuration &work, TimePoint now)
{
    const double ratio = baselineMicroseconds(work) / toMicroseconds(baseline(route));
    if (ratio > 1.0 && baselineMicroseconds_.contains(route)) {
        recordUpstreamSlowdown(ratio, now);
    }
}

double ServiceTimes::baselineMicroseconds(const WorkDuration &work) const
{
    return keepsStartSlowdown() ? toMicroseconds(work.elapsed) / work.startSlowdown
                                : toMicroseconds(work.baselineElapsed);
}

void ServiceTimes::recordStartSlowdownEvidence(const WorkDuration &work, double baseline)
{
    const double withStartSlowdown = std::max(toMicroseconds(work.elapsed) / work.startSlowdown, 1.0);
    const double withVaryingSlowdown = std::max(toMicroseconds(work.baselineElapsed), 1.0);
    if (std::abs(std::log(withStartSlowdown / withVaryingSlowdown)) < MinLogDifference) {
        return;
    }
    const double advantage =
        std::abs(std::log(withVaryingSlowdown / baseline)) - std::abs(std::log(withStartSlowdown / baseline));
    startSlowdownEvidence_ += EvidenceGain * (advantage - startSlowdownEvidence_);
}

double ServiceTimes::upstreamSlowdown(TimePoint now) const
{
    const std::chrono::duration<double> age = std::max(now - excessSlowdownTime_, Duration{0});
    return 1.0 + excessSlowdown_ * std::exp(-age / UpstreamSlowdownMemory);
}

void ServiceTimes::recordUpstreamSlowdown(double ratio, TimePoint now)
{
    const double current = upstreamSlowdown(now);
    excessSlowdown_ = std::max(0.0, current + UpstreamSlowdownGain * (std::min(ratio, MaxRatio) - current) - 1.0);
    excessSlowdownTime_ = now;
}

Duration ServiceTimes::baseline(const RouteName &route) const
{
    const auto found = baselineMicroseconds_.find(route);
    if (found != baselineMicroseconds_.end()) {
        return fromMicroseconds(found->second);
    }
    return overall();
}

Duration ServiceTimes::overall() const
{
    return fromMicroseconds(overallMicroseconds_ > 0.0 ? overallMicroseconds_ : DefaultMicroseconds);
}

}

#include "admission/vmslowdown.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// A slow period lasts at most this long. A VM that stays slow for longer is not in a slow period.
constexpr Milliseconds SlowPeriodMemory{1000};
/// Time range of the samples for baselineTimeBetween(); longer than nearly all work.
constexpr Milliseconds SampleMemory{5000};
/// Ratio to the lowest slowdown above which a VM is in a slow period. Smaller ratios are the normal variation of a VM
/// under load.
constexpr double SlowRatio = 1.5;
/// Upper limit of the lowest slowdown of a VM whose samples do not cover SlowPeriodMemory: an upstream that has just
/// started on a VM at the baseline speed is about twice as slow as later.
constexpr double DefaultLowestFactor = 2.0;
/// Assumed length of a slow period until one has been observed to end; of the order of a scheduler's time slices under
/// contention.
constexpr double DefaultSlowPeriodSeconds = 0.2;
/// Weight of the newest slow period in the mean, which covers about the last ten.
constexpr double SlowPeriodGain = 0.1;
/// The end of a slow period counts as observed only if the previous sample is more recent than this.
constexpr Milliseconds MaxRecordGap{100};

}

void VmSlowdown::record(double factor, TimePoint now)
{
    factor_ = factor;
    if (samples_.empty() || samples_.back().factor != factor) {
        samples_.push_back({factor, now});
    }
    dropSamplesBefore(now - SampleMemory);
    const bool isSlow = factor > SlowRatio * lowestSince(now - SlowPeriodMemory);
    if (isSlow && !isInSlowPeriod_) {
        slowPeriodStart_ = now;
    }
    if (!isSlow && isInSlowPeriod_ && now - lastRecord_ < MaxRecordGap) {
        const double length = inSeconds(now - slowPeriodStart_);
        const double mean = meanSlowPeriodSeconds_ > 0.0 ? meanSlowPeriodSeconds_ : DefaultSlowPeriodSeconds;
        meanSlowPeriodSeconds_ = mean + SlowPeriodGain * (length - mean);
    }
    isInSlowPeriod_ = isSlow;
    lastRecord_ = now;
}

double VmSlowdown::recoveredSlowdown(TimePoint now) const
{
    const double lowest = lowestSince(now - SlowPeriodMemory);
    return factor_ > SlowRatio * lowest ? lowest : factor_;
}

Duration VmSlowdown::slowPeriodLeft(TimePoint now) const
{
    if (!isInSlowPeriod_ || now >= slowPeriodLimit()) {
        return Duration{0};
    }
    // A slow period is about equally likely to end at any moment, whatever its age.
    return fromSeconds(meanSlowPeriodSeconds_ > 0.0 ? meanSlowPeriodSeconds_ : DefaultSlowPeriodSeconds);
}

TimePoint VmSlowdown::slowPeriodLimit() const
{
    return slowPeriodStart_ + SlowPeriodMemory;
}

Duration VmSlowdown::baselineTimeBetween(TimePoint start, TimePoint now) const
{
    double baseline = 0.0;
    TimePoint end = now;
    for (auto sample = samples_.rbegin(); sample != samples_.rend() && end > start; ++sample) {
        const bool isOldest = std::next(sample) == samples_.rend();
        const TimePoint begin = isOldest ? start : std::max(sample->since, start);
        baseline += inSeconds(end - begin) / sample->factor;
        end = begin;
    }
    return samples_.empty() ? now - start : fromSeconds(baseline);
}

/// The lowest slowdown that applied at @p time or later.
double VmSlowdown::lowestSince(TimePoint time) const
{
    const bool coversTime = !samples_.empty() && samples_.front().since <= time;
    double lowest = coversTime ? factor_ : std::min(factor_, DefaultLowestFactor);
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        lowest = std::min(lowest, sample->factor);
        if (sample->since <= time) {
            break;
        }
    }
    return lowest;
}

void VmSlowdown::dropSamplesBefore(TimePoint time)
{
    while (samples_.size() > 1 && samples_[1].since <= time) {
        samples_.pop_front();
    }
}

}

#include "admission/vmslowdown.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// A VM that has not been quicker for so long is taken as it is.
constexpr Milliseconds SlowPeriodMemory{1000};
/// For baselineTimeBetween(): longer than nearly all work.
constexpr Milliseconds SampleMemory{5000};
/// A pace so many times the best one is a slow spell; less is the variation of a VM under load.
constexpr double SlowRatio = 1.5;
/// A VM that was not looked at for as long as the memory reaches was at best this slow: an upstream that has just
/// started on a VM at its usual pace is about twice as slow as later.
constexpr double UnseenBest = 2.0;
/// Before a spell was seen to end; of the order of a scheduler's time slices under contention.
constexpr double DefaultSlowPeriodSeconds = 0.2;
/// Of the newest spell in the mean: about the last ten.
constexpr double SlowPeriodGain = 0.1;
/// The end of a spell was seen if the VM was looked at so shortly before.
constexpr Milliseconds LongestGap{100};

}

void VmSlowdown::record(double factor, TimePoint now)
{
    factor_ = factor;
    if (samples_.empty() || samples_.back().factor != factor) {
        samples_.push_back({factor, now});
    }
    forgetBefore(now - SampleMemory);
    const bool slow = factor > SlowRatio * bestSince(now - SlowPeriodMemory);
    if (slow && !inSlowPeriod_) {
        slowPeriodStart_ = now;
    }
    if (!slow && inSlowPeriod_ && now - lastRecord_ < LongestGap) {
        const double length = inSeconds(now - slowPeriodStart_);
        const double mean = meanSlowPeriodSeconds_ > 0.0 ? meanSlowPeriodSeconds_ : DefaultSlowPeriodSeconds;
        meanSlowPeriodSeconds_ = mean + SlowPeriodGain * (length - mean);
    }
    inSlowPeriod_ = slow;
    lastRecord_ = now;
}

double VmSlowdown::afterSlowPeriod(TimePoint now) const
{
    const double best = bestSince(now - SlowPeriodMemory);
    return factor_ > SlowRatio * best ? best : factor_;
}

Duration VmSlowdown::slowPeriodLeft(TimePoint now) const
{
    if (!inSlowPeriod_ || now >= slowPeriodLimit()) {
        return Duration{0};
    }
    // Spells end at any moment with about the same chance, whatever their age.
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
        const bool oldest = std::next(sample) == samples_.rend();
        const TimePoint begin = oldest ? start : std::max(sample->since, start);
        baseline += inSeconds(end - begin) / sample->factor;
        end = begin;
    }
    return samples_.empty() ? now - start : fromSeconds(baseline);
}

/// The lowest pace that held at @p time or later.
double VmSlowdown::bestSince(TimePoint time) const
{
    const bool seenAllAlong = !samples_.empty() && samples_.front().since <= time;
    double best = seenAllAlong ? factor_ : std::min(factor_, UnseenBest);
    for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
        best = std::min(best, sample->factor);
        if (sample->since <= time) {
            break;
        }
    }
    return best;
}

void VmSlowdown::forgetBefore(TimePoint time)
{
    while (samples_.size() > 1 && samples_[1].since <= time) {
        samples_.pop_front();
    }
}

}

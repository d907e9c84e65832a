#include "soak/stalldetector.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

namespace
{

/// Activity that is late by more than this is a stall.
constexpr Milliseconds MaxDelay{250};

}

void StallDetector::recordActivity(TimePoint now)
{
    const TimePoint before = std::exchange(lastActivity_, now);
    if (before == TimePoint()) {
        return;
    }
    const Duration late = std::max<Duration>(now - before - CheckInterval, Duration{0});
    longestDelay_ = std::max(longestDelay_, late);
    if (late > MaxDelay) {
        ++stallCount_;
        faultHistory_.begin(AllNodes, FaultCategory::Unplanned, before);
        faultHistory_.end(AllNodes, FaultCategory::Unplanned, now);
    }
}

}

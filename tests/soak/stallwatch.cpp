#include "soak/stallwatch.h"

#include <algorithm>
#include <utility>

namespace Egretpath
{

namespace
{

/// A step that is late by more shows a stall.
constexpr Milliseconds StallLimit{250};

}

void StallWatch::noteAwake(TimePoint now)
{
    const TimePoint before = std::exchange(last_, now);
    if (before == TimePoint()) {
        return;
    }
    const Duration late = std::max<Duration>(now - before - Step, Duration{0});
    longest_ = std::max(longest_, late);
    if (late > StallLimit) {
        ++stalls_;
        disturbances_.begin(AllNodes, Disturbance::Unplanned, before);
        disturbances_.end(AllNodes, Disturbance::Unplanned, now);
    }
}

}

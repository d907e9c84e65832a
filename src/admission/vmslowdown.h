#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Egretpath
{

/// Tracks the slowdown of one upstream's VM and estimates how long a slow period lasts.
///
/// Load pattern: neighbours on the same host slow a VM down several times, for some tenths of a second at a time. Work
/// that begins during a slow period may keep the slowdown until it ends, so that it is quicker to begin after the slow
/// period than to begin at once. A VM that is slow for longer, such as one that has just started, is not in a slow
/// period: slow periods are detected relative to the lowest recent slowdown.
///
/// Slowdowns are factors: how many times longer than the baseline work takes.
///
/// Thread safety: none; one owner. Errors: none.
class VmSlowdown
{
public:
    /// Records the slowdown @p factor at @p now. Preconditions: @p factor > 0; @p now does not go back.
    void record(double factor, TimePoint now);

    /// The latest slowdown.
    [[nodiscard]] double factor() const { return factor_; }
    /// The slowdown that is expected after the current slow period; factor() if there is none.
    [[nodiscard]] double recoveredSlowdown(TimePoint now) const;
    /// Time from @p now to the expected end of the current slow period; zero if there is none.
    [[nodiscard]] Duration slowPeriodLeft(TimePoint now) const;
    /// The time from which the VM no longer counts as in a slow period if its slowdown does not change.
    [[nodiscard]] TimePoint slowPeriodLimit() const;
    /// The time that work done from @p start to @p now would have taken at the baseline speed, if its speed follows
    /// the VM's slowdown throughout. The part of the span before the oldest stored sample counts at the slowdown of
    /// that sample.
    [[nodiscard]] Duration baselineTimeBetween(TimePoint start, TimePoint now) const;

private:
    struct Sample
    {
        double factor = 1.0;
        TimePoint since;
    };

    [[nodiscard]] double lowestSince(TimePoint time) const;
    void dropSamplesBefore(TimePoint time);

    /// Changes of the slowdown, oldest first. The first change may have happened before the time range that is kept.
    std::deque<Sample> samples_;
    double factor_ = 1.0;
    bool isInSlowPeriod_ = false;
    TimePoint slowPeriodStart_;
    TimePoint lastRecord_;
    double meanSlowPeriodSeconds_ = 0.0;
};

}

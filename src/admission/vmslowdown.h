#pragma once

#include <cstdint>
#include <deque>

#include "core/clock.h"

namespace Egretpath
{

/// How fast the VM of one upstream works, and how long it stays slow.
///
/// The load that it answers: neighbours on the same host slow a VM several times over, for some tenths of a second at a
/// time. Work that begins then may keep that pace to its end, so that waiting for the end of the slow spell is quicker
/// than beginning at once. A VM that is slow for longer, as one that has just started, is taken as it is: what counts
/// as slow is measured against the best pace of the last moments.
///
/// Paces are factors: how many times longer than usual work takes. Thread safety: none; one owner. Errors: none.
class VmSlowdown
{
public:
    /// Records the slowdown @p factor at @p now. Preconditions: @p factor > 0; @p now does not go back.
    void record(double factor, TimePoint now);

    /// The latest pace.
    [[nodiscard]] double factor() const { return factor_; }
    /// The slowdown that is expected after the present slow period; factor() while there is none.
    [[nodiscard]] double afterSlowPeriod(TimePoint now) const;
    /// From @p now to the expected end of the present slow spell; zero while there is none.
    [[nodiscard]] Duration slowPeriodLeft(TimePoint now) const;
    /// The time at which the VM is no longer taken to be in a spell if its pace stays what it is.
    [[nodiscard]] TimePoint slowPeriodLimit() const;
    /// The time that work done from @p start to @p now would have taken at the usual pace if it changes its pace with
    /// the VM. Spans that reach back further than the memory count at the oldest pace that is remembered.
    [[nodiscard]] Duration baselineTimeBetween(TimePoint start, TimePoint now) const;

private:
    struct Sample
    {
        double factor = 1.0;
        TimePoint since;
    };

    [[nodiscard]] double bestSince(TimePoint time) const;
    void forgetBefore(TimePoint time);

    /// Changes of the pace, oldest first; the first one may have begun before the memory.
    std::deque<Sample> samples_;
    double factor_ = 1.0;
    bool inSlowPeriod_ = false;
    TimePoint slowPeriodStart_;
    TimePoint lastRecord_;
    double meanSlowPeriodSeconds_ = 0.0;
};

}

#pragma once

#include <cstddef>

#include "core/clock.h"
#include "soak/faulthistory.h"

namespace Egretpath
{

/// Detects that the machine stalled this program, and with it the nodes.
///
/// A stall shows as a time without any activity here. It is recorded as an unplanned fault of all nodes. Thread safety:
/// none. Precondition: the fault history outlives this object.
class StallDetector
{
public:
    /// recordActivity() is called at least this often.
    static constexpr Milliseconds CheckInterval{20};

    explicit StallDetector(FaultHistory &faultHistory)
        : faultHistory_(faultHistory)
    {
    }

    /// Records that the program is active at @p now. Must be called before any event is checked against a time bound:
    /// after a stall, delayed events may be handled before the timer that calls this regularly.
    void recordActivity(TimePoint now);

    [[nodiscard]] std::size_t stallCount() const { return stallCount_; }
    [[nodiscard]] Duration longestDelay() const { return longestDelay_; }

private:
    FaultHistory &faultHistory_;
    TimePoint lastActivity_;
    std::size_t stallCount_ = 0;
    Duration longestDelay_{0};
};

}

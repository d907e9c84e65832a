#pragma once

#include <cstddef>

#include "core/clock.h"
#include "soak/disturbances.h"

namespace Egretpath
{

/// Notices that the machine held this program up, and with it the nodes: nothing was done here for a while.
///
/// Such a stall counts as hitting all nodes. Thread safety: none. Precondition: the disturbances outlive it.
class StallWatch
{
public:
    /// noteAwake() is called at least this often.
    static constexpr Milliseconds Step{20};

    explicit StallWatch(Disturbances &disturbances)
        : disturbances_(disturbances)
    {
    }

    /// Something is done at @p now. Called before anything is judged by its time: after a stall, what it held up may be
    /// dealt with before any timer.
    void noteAwake(TimePoint now);

    [[nodiscard]] std::size_t stalls() const { return stalls_; }
    [[nodiscard]] Duration longest() const { return longest_; }

private:
    Disturbances &disturbances_;
    TimePoint last_;
    std::size_t stalls_ = 0;
    Duration longest_{0};
};

}

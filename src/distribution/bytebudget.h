#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// A token bucket for bytes sent, with counters for metrics.
///
/// Thread safety: none. Times must not go backwards; if they do, nothing is refilled. Errors: none.
class ByteBudget
{
public:
    /// Preconditions: @p bytesPerSecond and @p burst are above zero. The bucket starts full.
    ByteBudget(Bytes bytesPerSecond, Bytes burst, TimePoint now);

    /// Takes @p bytes if the bucket holds as many; otherwise takes none and counts a refusal.
    [[nodiscard]] bool tryTake(Bytes bytes, TimePoint now);
    /// Takes @p bytes in any case; the bucket may fall below empty. For messages that must go, such as
    /// answers whose size is known only afterwards.
    void take(Bytes bytes, TimePoint now);
    /// What tryTake() would grant at most.
    [[nodiscard]] Bytes available(TimePoint now);

    /// Bytes taken since the start.
    [[nodiscard]] Bytes spent() const { return spent_; }
    /// Requests refused since the start.
    [[nodiscard]] std::uint64_t refusals() const { return refusals_; }

private:
    void refill(TimePoint now);

    double bytesPerSecond_;
    double burst_;
    double tokens_;
    TimePoint refilledAt_;
    Bytes spent_;
    std::uint64_t refusals_ = 0;
};

}

#pragma once

#include <algorithm>
#include <cmath>

#include "core/clock.h"

namespace Egretpath
{

/// A count of events of the last two seconds: the weight of an event falls to 1/e in that time.
/// Thread safety: none; one owner. Errors: none.
class DecayingCount
{
public:
    void add(double amount, TimePoint now)
    {
        count_ = value(now) + amount;
        countedAt_ = now;
    }
    [[nodiscard]] double value(TimePoint now) const
    {
        constexpr std::chrono::duration<double> DecayTime{2.0};
        const std::chrono::duration<double> age = std::max(now - countedAt_, Duration{0});
        return count_ == 0.0 ? 0.0 : count_ * std::exp(-age / DecayTime);
    }
    void clear() { count_ = 0.0; }

private:
    double count_ = 0.0;
    TimePoint countedAt_;
};

}

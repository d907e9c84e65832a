#include "sidecar/catalogconfirmation.h"

#include <algorithm>

#include "core/bootclock.h"

namespace Egretpath
{

namespace
{

/// The same confirmation, told again, differs by what its ways took.
constexpr Milliseconds MinGain{20};

}

bool CatalogConfirmation::record(TimePoint at)
{
    const Microseconds confirmedAt = timeSinceBoot() - std::chrono::duration_cast<Microseconds>(currentTime() - at);
    if (confirmedAt_ && confirmedAt < *confirmedAt_ + MinGain) {
        return false;
    }
    confirmedAt_ = confirmedAt;
    return true;
}

std::optional<Milliseconds> CatalogConfirmation::age() const
{
    if (!confirmedAt_) {
        return std::nullopt;
    }
    return std::max(std::chrono::ceil<Milliseconds>(timeSinceBoot() - *confirmedAt_), Milliseconds{0});
}

bool CatalogConfirmation::isAfter(TimePoint time) const
{
    const std::optional<Milliseconds> confirmedAge = age();
    return confirmedAge && currentTime() - *confirmedAge > time;
}

}

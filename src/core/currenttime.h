#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// The monotonic time. Controllers read it once for each event and hand it to the decision libraries.
/// Thread safety: safe. Errors: none.
[[nodiscard]] inline TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

/// From @p time to now. Thread safety: safe. Errors: none.
[[nodiscard]] inline Milliseconds timeSince(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(currentTime() - time);
}

}

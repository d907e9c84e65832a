#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// Returns the monotonic time. Controllers read it once for each event and pass it to the decision libraries.
/// Thread safety: safe. Errors: none.
[[nodiscard]] inline TimePoint currentTime()
{
    return std::chrono::steady_clock::now();
}

/// Returns the time that has passed since @p time. Thread safety: safe. Errors: none.
[[nodiscard]] inline Milliseconds timeSince(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(currentTime() - time);
}

}

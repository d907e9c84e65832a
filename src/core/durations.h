#pragma once

#include "core/clock.h"

namespace Egretpath
{

/// Returns @p duration as a number of seconds. Thread safety: safe.
[[nodiscard]] inline double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// Returns a duration of @p seconds. Thread safety: safe.
[[nodiscard]] inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns @p duration multiplied by @p factor. Thread safety: safe.
[[nodiscard]] inline Duration scaled(Duration duration, double factor)
{
    return std::chrono::duration_cast<Duration>(duration * factor);
}

}

#pragma once

#include <chrono>

namespace Egretpath
{

/// Monotonic time of this process. The decision libraries never read a clock; their callers pass the time in.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

/// Wall clock time. Meant only for idempotency keys, because they are passed between processes. Not used at present.
using WallTime = std::chrono::system_clock::time_point;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

}

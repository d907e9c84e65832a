#pragma once

#include <chrono>

#include "core/clock.h"
#include "idempotency/callstate.h"
#include "idempotency/latenessguard.h"

namespace Egretpath::Testing
{

using namespace std::chrono_literals;

inline const TimePoint Start{1000s};

}

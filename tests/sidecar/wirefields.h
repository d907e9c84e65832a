#pragma once

#include <string_view>

namespace Egretpath
{

/// The field that names an attempt, as callers and upstreams of the tests write it.
inline constexpr std::string_view AttemptId = "X-Egretpath-Attempt-Id";

}

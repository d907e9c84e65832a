#pragma once

#include <string_view>

namespace Egretpath
{

/// The header field that carries the id of an attempt, as callers and upstreams of the tests send it.
inline constexpr std::string_view AttemptId = "X-Egretpath-Attempt-Id";

}

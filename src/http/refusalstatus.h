#pragma once

#include <cstdint>

#include "http/messageparser.h"

namespace Egretpath
{

/// The statuses of the server's own answers to requests that don't reach the handler.
inline constexpr std::uint16_t RequestTimeoutStatus = 408;
inline constexpr std::uint16_t UnavailableStatus = 503;

/// Returns the status that refuses a request with @p problem. @p areSizesProvisional: the limits on sizes are not known
/// to be the ones in force, so that a request over one of them is refused for now only. Thread safety: safe.
[[nodiscard]] std::uint16_t refusalStatus(MessageProblem problem, bool areSizesProvisional);

}

#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// Why a read of the platform's service gave no value.
enum class PlatformProblem : std::uint8_t {
    /// No connection, or it broke.
    Unreachable,
    /// No whole answer in time.
    TimedOut,
    /// The service answers and has no such key.
    Absent,
    /// The service counts too many reads (429).
    Throttled,
    /// The value is larger than allowed.
    TooLarge,
    /// Any other status, or an answer without an index.
    BadAnswer,
};

/// A failed read. Reads change nothing, so it carries no verdict.
struct PlatformFailure
{
    PlatformProblem problem = PlatformProblem::Unreachable;
    std::string detail;
    /// When the service wants to be asked again; nothing said means zero.
    Milliseconds retryAfter{0};
    /// With Absent, the index from which a watch sees the key appear.
    std::uint64_t index = 0;
};

template<typename Value>
using PlatformResult = boost::outcome_v2::result<Value, PlatformFailure, boost::outcome_v2::policy::all_narrow>;

/// The stable word for @p problem in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(PlatformProblem problem);

}

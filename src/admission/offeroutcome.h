#pragma once

#include <cstdint>
#include <optional>
#include <variant>

#include "core/strongtype.h"
#include "core/verdict.h"

namespace Egretpath
{

/// Identifies one call within a node. The node assigns the number itself.
using CallId = StrongType<struct CallIdTag, std::uint64_t>;

/// The call is sent to the upstream now.
struct Admitted
{
};

/// A queued call that was removed, because it can no longer meet its deadline, has waited too long after it could no
/// longer meet its target, or was displaced by a more urgent call. It never ran.
struct ExpiredCall
{
    CallId call;
    Failure failure;
};

/// The call waits in the queue, which reports later whether the call starts or is refused.
struct Queued
{
    /// The queued call of lower priority whose place it took; nothing if it took none.
    std::optional<ExpiredCall> displaced = std::nullopt;
};

/// The call did not run and will not run.
struct Refused
{
    Failure failure;
};

using OfferOutcome = std::variant<Admitted, Queued, Refused>;

/// State of a call at the time it was cancelled.
enum class CancelOutcome : std::uint8_t {
    /// The call was queued. It has been removed and never ran.
    WasQueued,
    /// The call is at the upstream. It keeps its slot until the upstream has finished with it.
    InFlight,
    /// The call had already ended, or was never offered.
    Unknown,
};

}

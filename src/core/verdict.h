#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <boost/outcome/result.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// Whether a request may have run at its upstream.
enum class Verdict : std::uint8_t {
    /// The whole answer to this request is at hand.
    Answered,
    /// Proved: no upstream was handed this request, and none will be.
    NotRun,
    /// Unknown: an upstream may have run the request, or may still run it.
    MayHaveRun,
};

/// Why a call ended without an answer, or what a refusal was for. Shown to callers and in logs.
enum class Reason : std::uint8_t {
    None,
    /// The request is malformed or names an unknown service.
    BadRequest,
    /// All slots and queue places of the upstream are taken.
    Overloaded,
    /// The upstream leaves; it takes no new work.
    Draining,
    /// The deadline passed.
    DeadlinePassed,
    /// No upstream can be chosen.
    NoUpstream,
    /// The connection to a node or an upstream could not be made.
    ConnectFailed,
    /// A connection broke after the first byte was sent.
    ConnectionLost,
    /// The upstream's answer ended early or was malformed.
    BadAnswer,
    /// The caller went away.
    Cancelled,
    /// The idempotency key is malformed, of an unknown kind, or stamped in the future.
    BadKey,
    /// The idempotency key belongs to an earlier incarnation, or is older than the memory of its owner.
    KeyOutOfMemory,
    /// A request with the same idempotency key is running.
    KeyInUse,
    /// The request ran before; its answer is no longer held.
    AnswerNotHeld,
    /// The request arrived at another incarnation than the one it was sent to.
    WrongIncarnation,
    /// This node has no table yet, or cannot confirm that its table is current.
    NoTable,
    /// A retry, byte or connection budget is used up.
    BudgetSpent,
    /// A body or header is larger than allowed.
    TooLarge,
    /// The upstream itself refused the request without running it.
    Shed,
    /// The node beside the upstream expects another upstream to be quicker.
    Declined,
    /// No route takes the request.
    NoRoute,
    /// The upstream was handed the request, has it no longer, and did not answer it.
    LostAtUpstream,
    /// Upstreams ended while they ran the request.
    CrashesUpstreams,
};

/// The last of them, for reading what a node of another version wrote.
inline constexpr Reason LastReason = Reason::CrashesUpstreams;

/// How a call failed. Carried by every error of the call path.
struct Failure
{
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    /// When the caller may come back; nothing means at once.
    Milliseconds retryAfter{0};
    std::string detail;
};

template<typename Value>
using Result = boost::outcome_v2::result<Value, Failure, boost::outcome_v2::policy::all_narrow>;

/// The stable word for @p verdict in logs and in the Egretpath-Verdict header. Thread safety: safe.
[[nodiscard]] std::string_view toString(Verdict verdict);
/// The stable word for @p reason in logs and in the Egretpath-Reason header. Thread safety: safe.
[[nodiscard]] std::string_view toString(Reason reason);
/// Reads what toString(Verdict) wrote. Thread safety: safe. Errors: nothing for unknown words.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view text);

/// A failure whose maker can prove that the request did not run and never will.
/// Thread safety: safe.
[[nodiscard]] Failure notRun(Reason reason, std::string detail = {}, Milliseconds retryAfter = Milliseconds{0});
/// A failure after which the request may have run. Thread safety: safe.
[[nodiscard]] Failure mayHaveRun(Reason reason, std::string detail = {}, Milliseconds retryAfter = Milliseconds{0});

}

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
    /// The complete answer to this request was received.
    Answered,
    /// It is proved that no upstream was or will be given this request.
    NotRun,
    /// It is unknown whether an upstream ran the request or may still run it.
    MayHaveRun,
};

/// Why a call ended without an answer or was refused. Shown to callers and in logs.
enum class Reason : std::uint8_t {
    None,
    /// The request is malformed or names an unknown service.
    BadRequest,
    /// All slots and queue places of the upstream are in use.
    Overloaded,
    /// The node is stopping and takes no new requests.
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
    /// The caller disconnected.
    Cancelled,
    /// The idempotency key is malformed, of an unknown kind, or stamped in the future.
    BadKey,
    /// The idempotency key belongs to an earlier incarnation, or its owner no longer remembers keys of that age.
    KeyOutOfMemory,
    /// A request with the same idempotency key is running.
    KeyInUse,
    /// The request already ran, and its answer is no longer stored.
    AnswerNotHeld,
    /// The request reached another incarnation or upstream than it was sent to.
    WrongIncarnation,
    /// This node has no route table yet.
    NoTable,
    /// The maximum number of tries of a request, or of connections to an upstream, is reached.
    BudgetSpent,
    /// A body or header is larger than allowed.
    TooLarge,
    /// The upstream itself refused the request without running it.
    Shed,
    /// The node beside the upstream expects another upstream to answer sooner.
    Declined,
    /// No route matches the request.
    NoRoute,
    /// The upstream received the request, no longer works on it, and did not answer it.
    LostAtUpstream,
    /// Upstreams exited while they ran the request.
    CrashesUpstreams,
    /// The route of the request may not be served in the upstream's region.
    OutsideRegions,
    /// Operators evacuate the upstream's zone, or it is not known yet whether they do.
    ZoneEvacuated,
    /// The rate of requests that the upstream may get is used up.
    RateLimited,
    /// A connection that earlier requests had used broke before an answer. Its upstream may have closed it as idle, or
    /// have run the request.
    KeptConnectionLost,
    /// The node beside the upstream has newer routes than those by which the ingress chose, and they don't allow it.
    OlderRoutes,
    /// The body of the request did not come in time.
    BodyTimeout,
};

/// The last enumerator, used to check reasons received from nodes of other versions.
inline constexpr Reason LastReason = Reason::BodyTimeout;
/// The last one that nodes know which don't name the version of the routes with a call.
inline constexpr Reason LastReasonOfEarlierNodes = Reason::CrashesUpstreams;

/// How a call failed. Every error on the path of a call carries one.
struct Failure
{
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    /// The delay after which the caller may retry; zero means at once.
    Milliseconds retryAfter{0};
    std::string detail;
};

template<typename Value>
using Result = boost::outcome_v2::result<Value, Failure, boost::outcome_v2::policy::all_narrow>;

/// Returns the stable word for @p verdict in logs and in the Egretpath-Verdict header. Thread safety: safe.
[[nodiscard]] std::string_view toString(Verdict verdict);
/// Returns the stable word for @p reason in logs and in the Egretpath-Reason header. Thread safety: safe.
[[nodiscard]] std::string_view toString(Reason reason);
/// Parses a word written by toString(Verdict). Returns nothing for unknown words. Thread safety: safe.
[[nodiscard]] std::optional<Verdict> verdictFromString(std::string_view text);

/// Returns a failure with the verdict NotRun. Precondition: it is proved that the request did not run and never will.
/// Thread safety: safe.
[[nodiscard]] Failure notRun(Reason reason, std::string detail = {}, Milliseconds retryAfter = Milliseconds{0});
/// Returns a failure after which the request may have run. Thread safety: safe.
[[nodiscard]] Failure mayHaveRun(Reason reason, std::string detail = {}, Milliseconds retryAfter = Milliseconds{0});

}

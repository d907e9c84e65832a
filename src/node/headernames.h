#pragma once

#include <string_view>

/// The header fields that the system reads and writes, beside those of HTTP itself.
namespace Egretpath::HeaderNames
{

/// Request: milliseconds that the caller waits. Towards upstreams: milliseconds left.
inline constexpr std::string_view Deadline = "Egretpath-Deadline-Ms";
/// The id of the request in logs and histories.
inline constexpr std::string_view RequestId = "Egretpath-Request-Id";
/// Answer: answered, not-run or may-have-run.
inline constexpr std::string_view VerdictName = "Egretpath-Verdict";
/// Answer: why there is no answer of an upstream; see toString(Reason).
inline constexpr std::string_view ReasonName = "Egretpath-Reason";
/// Answer: a fresh key for the caller's next call of a service that may not be repeated.
inline constexpr std::string_view NextKey = "Egretpath-Next-Key";
/// Answer: set when it is the answer of an earlier run under the same key.
inline constexpr std::string_view Replayed = "Egretpath-Replayed";
/// Answer: milliseconds after which the caller may come back; Retry-After has only whole seconds.
inline constexpr std::string_view RetryAfterMs = "Egretpath-Retry-After-Ms";
/// Request: see draft-ietf-httpapi-idempotency-key-header.
inline constexpr std::string_view IdempotencyKey = "Idempotency-Key";
/// Answer: RFC 9110, 10.2.3.
inline constexpr std::string_view RetryAfter = "Retry-After";

}

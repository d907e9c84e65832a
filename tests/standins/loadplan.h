#pragma once

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// What a call asks for.
enum class CallKind : std::uint8_t {
    /// A small GET, which may be repeated.
    Lookup,
    /// A small POST that must run at most once; it carries an idempotency key.
    Payment,
    /// A large POST with an idempotency key.
    Upload,
};
constexpr std::array<CallKind, 3> AllCallKinds{CallKind::Lookup, CallKind::Payment, CallKind::Upload};

/// The word for @p kind in paths and in the report. Thread safety: safe.
[[nodiscard]] std::string_view toString(CallKind kind);

/// Where the idempotency keys come from.
enum class KeySource : std::uint8_t {
    None,
    /// POST /.egretpath/keys at the ingress that the call goes to.
    Endpoint,
    /// The Egretpath-Next-Key header of earlier answers; the first ones from the endpoint.
    Header,
    /// Drawn by the load tool.
    Random,
};

/// One run of the load tool.
struct LoadPlan
{
    std::vector<std::string> ingresses;
    /// Stand-ins of upstreams that half of the calls go to without the system in between, for comparison.
    std::vector<std::string> direct;
    std::vector<std::string> services{"statements"};
    double callsPerSecond = 50;
    double seconds = 10;
    std::uint64_t calls = 100'000;
    double lookups = 0.7;
    double payments = 0.29;
    double uploads = 0.01;
    std::uint64_t uploadBytes = std::uint64_t{8} * 1024 * 1024;
    std::uint64_t answerBytes = 200;
    std::uint64_t deadlineMilliseconds = 2000;
    /// Times that a call without an answer is sent again, with the same key and to another ingress.
    unsigned callerRetries = 0;
    double burstEverySeconds = 0;
    std::uint64_t burstCalls = 0;
    std::size_t maxInFlight = 2000;
    std::uint64_t seed = 1;
    KeySource keySource = KeySource::Endpoint;
    std::string historyFile;
};

}

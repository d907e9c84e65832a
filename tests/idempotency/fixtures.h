#pragma once

#include <chrono>
#include <string>

#include "core/clock.h"
#include "idempotency/atmostonceguard.h"

namespace Egretpath::Testing
{

using namespace std::chrono_literals;

inline const TimePoint Start{1000s};
inline const WallTime WallStart{1'700'000'000s};

inline TryId tryId(std::uint64_t sequence, std::uint32_t number = 1, std::uint64_t ingress = 7)
{
    return TryId{IngressCallId{Incarnation(ingress), CallSequence(sequence)}, TryNumber(number)};
}

inline KeyId keyId(std::int64_t millisecondsAfterStart, std::uint64_t nonce = 1)
{
    return KeyId{stampOf(WallStart + Milliseconds{millisecondsAfterStart}), Digest{0, nonce}};
}

inline HeldAnswer answer(const std::string &body)
{
    return HeldAnswer{200, {}, body};
}

/// The failure of a decision; fails the test's reading of it if the decision was no refusal.
inline Failure refusal(const BeginDecision &decision)
{
    return std::get<Failure>(decision);
}

inline bool runs(const BeginDecision &decision)
{
    return std::holds_alternative<RunRequest>(decision);
}

inline std::string replayed(const BeginDecision &decision)
{
    return std::get<ReplayAnswer>(decision).answer->body;
}

}

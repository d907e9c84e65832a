#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Egretpath
{

/// Tracks whether an upstream is warm, from its health answers.
///
/// Load pattern: an upstream that has just started takes only a few requests a second, and may fall back to that at any
/// moment without a restart. Its answers to requests do not tell; health answers do. What they said holds for a few
/// more requests only, so that an upstream which has become cold gets no more than these before the node knows.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamWarmth
{
public:
    /// The upstream answered a health check: it stays cold for @p warmUpLeft, and is warm if that is zero.
    void onHealthAnswer(Milliseconds warmUpLeft, TimePoint now);
    /// Nothing is known of the upstream any more: another one may have the address, or it may have started again.
    void onUnknown() { state_ = State::Unknown; }
    /// A request is handed over to the upstream.
    void onHandOver() { ++requestsSinceAnswer_; }

    /// Whether the upstream is known to be warm.
    [[nodiscard]] bool isWarm() const;
    /// Whether a health check should be made soon, so that the last answer does not become too old.
    [[nodiscard]] bool needsHealthCheck() const;
    /// How much longer the upstream is cold by its own word; zero if that is not known.
    [[nodiscard]] Duration warmUpLeft(TimePoint now) const;
    /// When the upstream last answered a health check.
    [[nodiscard]] TimePoint answeredAt() const { return answeredAt_; }
    /// Whether the upstream said that it is cold.
    [[nodiscard]] bool isKnownCold() const { return state_ == State::Cold; }

private:
    enum class State : std::uint8_t {
        Unknown,
        Cold,
        Warm,
    };

    State state_ = State::Unknown;
    TimePoint coldUntil_;
    TimePoint answeredAt_;
    std::uint32_t requestsSinceAnswer_ = 0;
};

}

#include "admission/upstreamwarmth.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Number of requests for which the upstream counts as warm after a health answer.
constexpr std::uint32_t MaxUnconfirmedRequests = 6;
/// After this number of requests a health check is made, so that its answer is there before the next requests need it.
constexpr std::uint32_t RequestsBeforeCheck = 3;

}

void UpstreamWarmth::onHealthAnswer(Milliseconds warmUpLeft, TimePoint now)
{
    state_ = warmUpLeft > Milliseconds{0} ? State::Cold : State::Warm;
    coldUntil_ = now + warmUpLeft;
    answeredAt_ = now;
    requestsSinceAnswer_ = 0;
}

bool UpstreamWarmth::isWarm() const
{
    return state_ == State::Warm && requestsSinceAnswer_ < MaxUnconfirmedRequests;
}

Duration UpstreamWarmth::warmUpLeft(TimePoint now) const
{
    return isKnownCold() ? std::max<Duration>(coldUntil_ - now, Duration{0}) : Duration{0};
}

bool UpstreamWarmth::needsHealthCheck() const
{
    return state_ != State::Warm || requestsSinceAnswer_ >= RequestsBeforeCheck;
}

}

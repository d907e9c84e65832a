#include "egress/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

/// The time in which the weight of an answer falls to 1/e. At three answers per second, about ten answers count. They
/// are forgotten some seconds after the last answer.
constexpr std::chrono::duration<double> DecayTime{2.0};
/// Successful answers that are assumed in addition to the recorded ones, so that a single failure does not cause
/// refusals.
constexpr double PriorAnswers = 3.0;

double decayFactor(TimePoint since, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(std::max(now - since, Duration{0})) / DecayTime);
}

}

void UpstreamHealth::record(bool failed, TimePoint now)
{
    decay(now);
    answers_ += 1.0;
    failures_ += failed ? 1.0 : 0.0;
}

double UpstreamHealth::failureShare(TimePoint now) const
{
    const double factor = decayFactor(decayedAt_, now);
    return failures_ * factor / (answers_ * factor + PriorAnswers);
}

void UpstreamHealth::decay(TimePoint now)
{
    const double factor = decayFactor(decayedAt_, now);
    answers_ *= factor;
    failures_ *= factor;
    decayedAt_ = now;
}

}

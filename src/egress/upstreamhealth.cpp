#include "egress/upstreamhealth.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

/// Time in which evidence falls to 1/e: about ten answers at three a second, and forgotten some seconds after the last.
constexpr std::chrono::duration<double> Memory{2.0};
/// Good answers assumed beside those seen, so that one failure alone does not turn requests away.
constexpr double PriorAnswers = 3.0;

double remaining(TimePoint since, TimePoint now)
{
    return std::exp(-std::chrono::duration<double>(std::max(now - since, Duration{0})) / Memory);
}

}

void UpstreamHealth::record(bool failed, TimePoint now)
{
    fade(now);
    answers_ += 1.0;
    failures_ += failed ? 1.0 : 0.0;
}

double UpstreamHealth::failureShare(TimePoint now) const
{
    const double left = remaining(fadedAt_, now);
    return failures_ * left / (answers_ * left + PriorAnswers);
}

void UpstreamHealth::fade(TimePoint now)
{
    const double left = remaining(fadedAt_, now);
    answers_ *= left;
    failures_ *= left;
    fadedAt_ = now;
}

}

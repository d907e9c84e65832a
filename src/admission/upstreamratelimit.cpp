#include "admission/upstreamratelimit.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// An upstream that names a lower limit, or zero, still gets a request at this interval: its answer is what tells that
/// the limit has changed.
constexpr Milliseconds MaxInterval{4000};
/// Number of requests that may follow each other at once.
constexpr int RequestsAtOnce = 2;

}

void UpstreamRateLimit::onAnswer(std::optional<RequestRate> limit, TimePoint now)
{
    if (limit && !limit_) {
        usedUpAt_ = now;
    }
    limit_ = limit;
    if (limit_) {
        // A raised limit shortens the wait for what was handed over under the lower one.
        usedUpAt_ = std::min(usedUpAt_, now + RequestsAtOnce * interval());
    }
}

void UpstreamRateLimit::onHandOver(TimePoint now)
{
    if (limit_) {
        usedUpAt_ = std::max(usedUpAt_, now) + interval();
    }
}

Duration UpstreamRateLimit::timeUntilNext(TimePoint now) const
{
    if (!limit_) {
        return Duration{0};
    }
    const Duration wait = usedUpAt_ - now - (RequestsAtOnce - 1) * interval();
    return std::max(wait, Duration{0});
}

Duration UpstreamRateLimit::interval() const
{
    const double perSecond = limit_->value();
    const double minPerSecond = 1.0 / inSeconds(Duration{MaxInterval});
    return fromSeconds(1.0 / std::max(perSecond, minPerSecond));
}

}

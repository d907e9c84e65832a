#include "admission/servicetimes.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// Weight of the newest duration: the mean of about ten, so that a change of the work shows within a second or two at
/// ten requests a second, and one long request does not turn others away.
constexpr double Gain = 0.1;
/// Before anything was measured; of the order of a request to a database.
constexpr double DefaultMicroseconds = 80'000.0;

Duration fromMicroseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(count));
}

void blend(double &mean, double sample)
{
    mean += (mean > 0.0 ? Gain : 1.0) * (sample - mean);
}

}

void ServiceTimes::record(const RouteName &route, Duration duration, double pace)
{
    const double sample = std::chrono::duration<double, std::micro>(duration).count() / pace;
    blend(microseconds_[route], std::max(sample, 1.0));
    blend(overallMicroseconds_, std::max(sample, 1.0));
}

Duration ServiceTimes::usual(const RouteName &route) const
{
    const auto found = microseconds_.find(route);
    if (found != microseconds_.end()) {
        return fromMicroseconds(found->second);
    }
    return overall();
}

Duration ServiceTimes::overall() const
{
    return fromMicroseconds(overallMicroseconds_ > 0.0 ? overallMicroseconds_ : DefaultMicroseconds);
}

}

#include "standins/servicetime.h"

#include <cmath>

namespace Egretpath
{

ServiceTime::ServiceTime(ServiceTimeOptions options, std::uint64_t seed, TimePoint start)
    : options_(options)
    , start_(start)
    , random_(seed)
    , distribution_(std::log(options.medianMilliseconds), options.sigma)
{
}

Duration ServiceTime::draw(TimePoint now)
{
    const std::chrono::duration<double, std::milli> time(distribution_(random_) * slowFactor_ * coldFactorAt(now));
    return std::chrono::duration_cast<Duration>(time);
}

/// Falls in a straight line from the cold factor to one.
double ServiceTime::coldFactorAt(TimePoint now) const
{
    const Duration age = now - start_;
    if (age >= options_.coldTime) {
        return 1;
    }
    const double part = static_cast<double>(age.count()) / static_cast<double>(options_.coldTime.count());
    return options_.coldFactor + (1 - options_.coldFactor) * part;
}

}

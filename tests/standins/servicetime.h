#pragma once

#include <random>

#include "core/clock.h"
#include "core/random.h"

namespace Egretpath
{

struct ServiceTimeOptions
{
    double medianMilliseconds = 5;
    /// Spread of the logarithm; 0 makes every call take the median.
    double sigma = 0.5;
    /// A cold start takes this long, and its first call takes this many times the usual time.
    Duration coldTime{0};
    double coldFactor = 5;
};

/// How long each call takes at a stand-in of an upstream: lognormal, longer while it is cold or slowed down.
/// Thread safety: none.
class ServiceTime
{
public:
    ServiceTime(ServiceTimeOptions options, std::uint64_t seed, TimePoint start);

    /// All later calls take @p factor times as long.
    void setSlowFactor(double factor) { slowFactor_ = factor; }
    [[nodiscard]] Duration draw(TimePoint now);

private:
    [[nodiscard]] double coldFactorAt(TimePoint now) const;

    ServiceTimeOptions options_;
    TimePoint start_;
    Random random_;
    std::lognormal_distribution<double> distribution_;
    double slowFactor_ = 1;
};

}

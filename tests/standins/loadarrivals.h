#pragma once

#include <cstdint>
#include <random>

#include "core/clock.h"
#include "core/random.h"
#include "standins/loadplan.h"

namespace Egretpath
{

/// When the calls of a plan arrive and what they ask for: a Poisson process, with bursts on top. Arrivals do not wait
/// for answers. Thread safety: none.
class LoadArrivals
{
public:
    struct Arrival
    {
        Duration time{0};
        CallKind kind = CallKind::Lookup;
        bool direct = false;
    };

    explicit LoadArrivals(const LoadPlan &plan);

    /// The next arrival, counted from the start of the run.
    [[nodiscard]] Arrival next();

private:
    [[nodiscard]] Duration nextTime();

    bool directPossible_;
    double burstEvery_;
    std::uint64_t burstCalls_;
    Random random_;
    std::exponential_distribution<double> gap_;
    std::discrete_distribution<std::size_t> kind_;
    double poissonSeconds_ = 0;
    double burstSeconds_ = 0;
    std::uint64_t burstLeft_ = 0;
};

}

#pragma once

#include <string_view>
#include <vector>

#include "core/clock.h"

/// What one upstream suffers in the middle of a run.
enum class Fault {
    None,
    /// Service times of the first upstream grow tenfold.
    SlowUpstream,
    /// Service times of every upstream in the first zone grow tenfold.
    SlowZone,
    /// The first upstream answers every call with an error within a fifth of a millisecond.
    FastFailures,
    /// One upstream after the other is replaced; a new one is slow until it has warmed up.
    ColdStarts,
    /// The first upstream is five times slower and reports that it is idle and quick.
    LyingReport,
};

/// A seeded load: how many calls arrive, and what goes wrong. Fractions are of all slots of all upstreams.
struct Load
{
    std::string_view name;
    double utilisation = 0.5;
    /// Utilisation during the first BurstLength of each BurstPeriod.
    double burstUtilisation = 0.0;
    Fault fault = Fault::None;
};

inline constexpr Egretpath::Milliseconds BurstLength{10};
inline constexpr Egretpath::Milliseconds BurstPeriod{100};

/// All loads that the bench knows.
const std::vector<Load> &allLoads();

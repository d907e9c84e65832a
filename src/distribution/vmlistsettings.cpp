#include "distribution/vmlistsettings.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

/// All nodes that are not readers together read the list at most this often in a second: a tenth of what the platform
/// grants, as a list in parts costs a few reads more and the table's fallback has its share as well.
constexpr double FallbackReadsPerSecond = 200.0;
/// A starting node without a list reads the platform after a random time up to this; most have one from a seed by then.
constexpr Milliseconds StartReadSpread{1'000};
/// The second and third of a region look for a reader's failure at least this far apart. A look may carry the whole
/// list, and urgent news travels as notices.
constexpr Milliseconds StandbyInterval{5'000};
/// Time between two pulls; the list may be late by seconds where the table may not.
constexpr Milliseconds PullInterval{2'000};
/// A node without a reader's confirmation younger than this reads for itself. Confirmations pass from node to node with
/// the pulls; at half the table's rate of pulls they are about twice as old, some 22 s at 22,000 nodes.
constexpr Milliseconds FallbackAfter{60'000};
/// The longest time between two tries while reads fail. When 22,000 nodes start at once and the platform refuses most
/// of them, their further tries together are some 1,100 reads a second and get through; the list can wait as long.
constexpr Milliseconds FailureLimit{16'000};
constexpr Bytes ControlBytesPerSecond{700};
constexpr Bytes PaidBytesPerSecond{400};

}

ExchangeSettings vmListExchangeSettings()
{
    ExchangeSettings settings;
    settings.pullInterval = PullInterval;
    settings.regionPullInterval = PullInterval;
    settings.controlBytesPerSecond = ControlBytesPerSecond;
    settings.paidBytesPerSecond = PaidBytesPerSecond;
    return settings;
}

ReaderSettings vmListReaderSettings(Milliseconds pollInterval)
{
    ReaderSettings settings;
    settings.fleetReadsPerSecond = FallbackReadsPerSecond;
    settings.standbyInterval = std::max(pollInterval, StandbyInterval);
    settings.fallbackAfter = FallbackAfter;
    settings.fallbackFloor = StartReadSpread;
    settings.failureLimit = FailureLimit;
    // Until a list is known, the floor alone spreads the reads.
    settings.assumedFleetSize = 1;
    return settings;
}

}

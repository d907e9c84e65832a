#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Egretpath
{

/// All waits on the way of routes and list from the store to each node, so that they can be added up.
struct CatalogTimes
{
    /// How often held records are looked at, and peers asked by a node that has nothing else.
    Milliseconds round{300};
    /// The store may be unreachable for so long before that counts; most losses are one refused call.
    Milliseconds lossBeforeAsking{250};
    /// For an answer that comes at once.
    Milliseconds peerLimit{600};
    /// A source that has no news answers after this time at the latest, so that one that froze is noticed.
    Milliseconds followWait{700};
    /// For the way there and back, with one lost packet.
    Milliseconds followMargin{400};
    /// That the store is in order is believed for so long after the node that reads it has shown it: each step on the
    /// way may add one wait of a follower. Without it nodes that follow each other in a circle would believe it for
    /// ever.
    Milliseconds provenFor{3000};
    /// Between tries to find somebody to follow.
    Milliseconds followPause{100};
    /// A node that the settings name answers a starting one after this time at the latest: it may start itself, and has
    /// read the store within some 50 ms.
    Milliseconds seedWait{400};
    /// The next one is asked after this time: two round trips between regions, and what a small VM takes to answer.
    Milliseconds seedStagger{60};
    /// A peer may have more than this node for so long: readers gather changes, each in its own rhythm.
    Milliseconds aheadBeforeAsking{1200};
    /// Between a change at the store and the next question, longer with each further one in a row. A change seldom
    /// comes alone, and each one that is told by itself costs a call.
    Milliseconds gatherTime{300};
    Milliseconds longestGatherTime{900};
    /// Between calls to a store that is away: of a node that reads for others, and of one that stands in for it.
    Milliseconds readerPause{700};
    Milliseconds standbyInterval{1400};
    /// Between cheap looks of one node at a store that others say is away, for each node of the fleet: the whole fleet
    /// looks about once in this time.
    Milliseconds lookPerNode{1000};
    Milliseconds minProbeInterval{5000};
};

/// What lies on the longest way of a change from the store to the last node of a region.
struct CatalogWay
{
    /// Steps from the node that reads to the last one.
    std::uint8_t steps = 1;
    /// For reading a large table from the store on a link of little bandwidth.
    Milliseconds read{300};
    /// For one step: the way, the copies for the others on the same link, and reading.
    Milliseconds step{100};
};

/// The longest that a change takes to the last node while one node on its way is dead, as the waits stand.
/// Thread safety: safe.
[[nodiscard]] Milliseconds longestWay(const CatalogTimes &times, const CatalogWay &way);

}

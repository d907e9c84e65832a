#pragma once

#include <cstdint>

#include "core/clock.h"

namespace Egretpath
{

/// All waits that delay routes and the instance list on their way from the store to each node. They are kept together
/// so that they can be added up.
struct CatalogTimes
{
    /// Interval at which held records (see InstanceDirectory) are checked and at which a node without another source
    /// queries peers.
    Milliseconds checkInterval{300};
    /// Interval between checks by a reader whether the store still answers it. A check costs a tenth of a call.
    Milliseconds storeCheckInterval{250};
    /// The same for a reader that another region's reader tells of changes at once.
    Milliseconds ringCheckInterval{400};
    /// The answer to a check is overdue after this time: many times what an answer usually takes, and shorter than the
    /// time after which the store counts as lost, since an overdue answer only causes a query to another node.
    Milliseconds storeOverdueTime{200};
    /// A reader has what the store had at some time within the last such time, or asks the store what it lacks. The
    /// other steps of a change's way have to fit beside it into the time within which changes are in force everywhere.
    Milliseconds maxUnconfirmedTime{1250};
    /// The first reader of a ring asks the store this often, and the others, which learn the result from it, need not:
    /// less than maxUnconfirmedTime by more than an answer takes to pass through the ring.
    Milliseconds leadConfirmInterval{1100};
    /// A reader holds the query of another region's reader for this long while it has nothing newer.
    Milliseconds readerExchangeWait{1200};
    /// The answer of a watch may be on its way for this long, or for as long as the store took for another answer.
    Milliseconds minAnswerTime{100};
    /// A second watch that asks for what the first should have brought may take this long before the store is read.
    Milliseconds secondWatchTime{200};
    /// The store must be unreachable for this long before it counts as lost. Most losses are one refused call.
    Milliseconds storeLossTolerance{250};
    /// Timeout of a query that is answered at once.
    Milliseconds peerTimeout{600};
    /// A source without updates answers after this time at the latest, so that a frozen source is noticed.
    Milliseconds followWait{600};
    /// A source's answer is overdue this long after followWait: longer than a round trip between regions, and shorter
    /// than followMargin, since an overdue answer only causes queries to other nodes.
    Milliseconds answerOverdueTime{100};
    /// Added to followWait for the round trip with one lost packet.
    Milliseconds followMargin{400};
    /// The store counts as available for this long after its reader last read it. Each step from the reader to a node
    /// may add one followWait. Without this limit, nodes that follow each other in a cycle would report the store as
    /// available indefinitely.
    Milliseconds maxReportAge{3000};
    /// Pause between attempts to find a node to follow.
    Milliseconds followPause{100};
    /// A seed node, named in the settings, answers a starting node after this time at the latest. The seed may be
    /// starting itself and reads the store within about 50 ms.
    Milliseconds seedWait{400};
    /// The next seed is queried after this time: two round trips between regions plus the time that a small VM takes to
    /// answer.
    Milliseconds seedStagger{60};
    /// A peer may be ahead of this node for this long before this node queries it: twice the time for which readers
    /// gather changes, each at another moment.
    Milliseconds peerLeadTolerance{500};
    /// Pause between a change at the store and the next read of the store. A change seldom comes alone, and each change
    /// that is read separately costs a call. The pause does not grow during a series of changes, since each of them
    /// may have to wait for all of it.
    Milliseconds gatherTime{250};
    /// During a series of changes, a watch may bring nothing for this long before the store is read beside it: longer
    /// than the interval of most series, since each read costs a call.
    Milliseconds maxWatchSilence{300};
    /// Interval between calls to an unavailable store: of a reader and of a standby.
    Milliseconds readerInterval{700};
    Milliseconds standbyInterval{1400};
    /// While the store is reported as unavailable, each node probes it at a mean interval of this time multiplied by
    /// the number of nodes in the fleet. The whole fleet therefore probes about once in this time.
    Milliseconds probeIntervalPerNode{1000};
    Milliseconds minProbeInterval{5000};
    /// The same for a node that has a reason to doubt the reports.
    Milliseconds doubtProbeInterval{1000};
};

/// How often a reader calls the store while its watches wait.
struct StoreCheckTimes
{
    /// Between two checks whether the store answers.
    Milliseconds interval{0};
    /// The store is asked what it has when nothing has shown that for this long.
    Milliseconds confirmInterval{0};
};

/// The longest path of a change from the store to the last node of a region.
struct PropagationPath
{
    /// Number of steps from the reader to the last node.
    std::uint8_t steps = 1;
    /// Time for reading a large table from the store on a link of little bandwidth.
    Milliseconds read{300};
    /// Time of one step: the transfer, the copies for other nodes on the same link, and the parsing.
    Milliseconds step{100};
};

/// The longest time that a change takes to reach the last node while one node on the path, or the store to its reader,
/// is silent, given @p times.
/// Thread safety: safe.
[[nodiscard]] Milliseconds maxPropagationTime(const CatalogTimes &times, const PropagationPath &path);

}

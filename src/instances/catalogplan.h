#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "instances/catalogtimes.h"
#include "instances/nodehash.h"
#include "instances/readerelection.h"
#include "instances/storestate.h"

namespace Egretpath
{

/// Whether and in which role a node reads the store.
enum class StoreReading : std::uint8_t {
    /// The node does not read the store. It gets its updates from another node.
    None,
    /// The node reads for itself and for the nodes that follow it.
    Reader,
    /// The node reads in place of other nodes, with long pauses between calls while the store is unavailable.
    Standby,
};

/// What another node's answer says about the store and about the node that reads it.
struct SourceReport
{
    StoreState store = StoreState::Unavailable;
    /// Number of nodes between the answering node and the store.
    std::uint8_t hops = 0;
    /// The node that reads the store for the answering node; empty if there is none.
    Endpoint reader;
    /// The nodes between the answering node and that node, the nearest first.
    std::vector<NodeHash> via;
    /// Time since the reader last read the store.
    Milliseconds age{0};
    /// How long the reader has read the store without a failure.
    Milliseconds storeAvailableFor{0};
    /// Whether the answering node has no source now that is known to read the store. The state of the store is then the
    /// last that it knew.
    bool isSearching = false;
    /// Whether neither the answering node nor the one that it follows knows a node that calls the store now. That it
    /// reports the store as unavailable then tells nothing of the store.
    bool isStoreUnwatched = false;
};

/// A query to another node for updates of the catalog and of the store's state.
struct SourceQuery
{
    Endpoint node;
    /// The longest that the other node may hold its answer while it has nothing newer.
    Milliseconds wait{0};
    /// The store state that the other node last reported to this one. The other node answers at once when its state
    /// differs.
    StoreState knownState = StoreState::Available;
};

/// Decides which node this node follows, when it queries which node, and whether it reads the platform's store itself.
///
/// Load pattern: the store is unavailable for seconds. The fleet loses its readers, and all its nodes call the store at
/// the store's worst moment. To avoid this, only the few readers and a few standbys for them keep calling the store.
/// The other nodes keep their sources, which report that the store is unavailable and when it is back.
///
/// If the store refuses some nodes only, a node that lost its source finds a working reader by querying substitutes:
/// standbys first, then readers of other regions. In addition, the whole fleet probes the store about once per second,
/// however large it is. A node whose sources are all silent gets no report on the store, so it reads the store itself.
/// A report by a node that has lost its own sources is none: nodes that lost the same reader would wait for each other.
/// A node that hears of a lost store while other nodes are silent probes the store itself soon.
///
/// Thread safety: none; one owner. Errors: none.
class CatalogPlan
{
public:
    CatalogPlan(RegionName region, const ReaderElectionSettings &readers, const CatalogTimes &times, Random random);

    /// Takes a changed instance list. @p own is this node's address in the list. @p isListed tells whether this node's
    /// upstream is on the list.
    void listChanged(const InstanceDirectory &directory, const Endpoint &own, bool isListed);
    /// This node begins to read. The store counts as read only after the first successful read.
    void beginReading(TimePoint now);
    /// This node has read something from the store.
    void recordStoreRead(TimePoint now);
    /// The store has answered a call of this node, of any kind.
    void recordStoreAnswer(TimePoint now);
    /// An answer of the store to this node is overdue. Until the store answers or counts as lost, a reader also queries
    /// other readers, so that its followers don't miss updates meanwhile.
    void onStoreOverdue() { isStoreOverdue_ = true; }
    /// This node's own calls to the store fail from @p now on, or succeed again.
    void onOwnReadsFailed(TimePoint now);
    void onOwnReadsRecovered(TimePoint now);
    /// @p node answered a query, or failed to answer it.
    void onAnswer(const Endpoint &node, const SourceReport &report, TimePoint now);
    void onNoAnswer(const Endpoint &node, TimePoint now);
    /// The source is late, and so are all nodes that were asked in its place, or they know no more than this one. The
    /// node reads the store itself until it has a source again.
    void onAlternativesFailed();
    /// Whether this node could follow @p node, which reported @p report.
    [[nodiscard]] bool isUsable(const Endpoint &node, const SourceReport &report, TimePoint now) const;
    /// A probe of the store succeeded although other nodes report the store as unavailable.
    void storeProbeSucceeded(TimePoint now);

    /// The next query to send, or nothing if no node is to be queried now. Precondition: listChanged() was called.
    [[nodiscard]] std::optional<SourceQuery> nextQuery(TimePoint now);
    /// The reader of another region to query while this node reads the store as the first reader of its region.
    [[nodiscard]] std::optional<Endpoint> nextInRing(TimePoint now) const
    {
        return isActiveReader() && isReadingStore() ? election_.nextInRing(now) : std::nullopt;
    }
    /// How often this node, as a reader, has to check the store: less often while others tell it of changes.
    [[nodiscard]] StoreCheckTimes checkTimes(TimePoint now) const;
    /// The reader of another region answered a query that nextInRing() named.
    void onRingAnswer(const Endpoint &node) { election_.recordAnswer(node); }
    /// The nodes to query for updates while the answer of @p overdue is late. This node does not follow them.
    [[nodiscard]] std::vector<Endpoint> alternatives(const Endpoint &overdue, TimePoint now) const
    {
        return election_.alternatives(overdue, now);
    }
    [[nodiscard]] StoreReading reading() const;
    /// Whether to probe the store now. Returns true once for each probe.
    [[nodiscard]] bool wantsStoreProbe(TimePoint now);

    /// The store state to report to other nodes. @p isRecovering: entries may be missing because this node's own reads
    /// failed.
    [[nodiscard]] StoreState store(TimePoint now, bool isRecovering) const;
    /// Number of nodes between this node and the store; 0 while this node reads the store or follows no node.
    [[nodiscard]] std::uint8_t hops() const;
    /// Whether this node neither reads the store now nor has a source that is known to.
    [[nodiscard]] bool isSearching() const
    {
        return !isReadingStore() && (!hasAvailableSource() || report_.isSearching);
    }
    /// Whether this node knows no node that calls the store now, itself included.
    [[nodiscard]] bool isStoreUnwatched() const
    {
        return reading() == StoreReading::None && (!following_ || report_.isStoreUnwatched);
    }
    /// The node that reads the store for this one; this node's own address while it reads itself or follows no node.
    [[nodiscard]] Endpoint reader() const;
    /// The nodes between this node and the reader, the nearest first.
    [[nodiscard]] std::vector<NodeHash> via() const;
    /// Time since the reader last read the store; zero while this node reads it. A node that reads but gets no answers
    /// counts from the last one.
    [[nodiscard]] Milliseconds age(TimePoint now) const;
    /// How long the reader has read the store without a failure; zero if no node reads it.
    [[nodiscard]] Milliseconds storeAvailableFor(TimePoint now) const;
    /// The node whose updates this node takes; nothing while this node reads for itself.
    [[nodiscard]] const std::optional<Endpoint> &following() const { return following_; }
    /// Whether the followed node reports the store as unavailable and no queried node reports otherwise.
    [[nodiscard]] bool isStoreReportedUnavailable() const
    {
        return !hasAvailableSource() && following_ && isSearchExhausted_;
    }
    /// When the reader that this node gets its updates from last read the store.
    [[nodiscard]] TimePoint lastStoreReadAt() const { return lastStoreReadAt_; }
    /// The last time at which a node is known to have read the store. If a record expired and no node noticed it, the
    /// record expired after this time.
    [[nodiscard]] TimePoint lastStoreAvailable() const { return lastStoreAvailable_; }
    /// Whether an answer of the store to this node is overdue, and it is not known yet whether the store is lost.
    [[nodiscard]] bool isStoreOverdue() const
    {
        return isStoreOverdue_ && !ownReadsFailingSince_ && reading() != StoreReading::None;
    }
    /// When this node's own calls to the store began to fail; nothing while they succeed.
    [[nodiscard]] const std::optional<TimePoint> &ownReadsFailingSince() const { return ownReadsFailingSince_; }

private:
    /// A reader whose updates no longer reach this node, and when this node learned of it.
    struct LostReader
    {
        Endpoint reader;
        TimePoint at;
    };

    /// Whether @p report is from before the loss of the reader that this node lost.
    [[nodiscard]] bool dependsOnLostReader(const SourceReport &report, TimePoint now) const;
    /// Whether the answering node gets its updates from this node.
    [[nodiscard]] bool dependsOnThisNode(const SourceReport &report) const;
    void recordLostReader(TimePoint at);
    [[nodiscard]] bool hasAvailableSource() const { return following_ && report_.store != StoreState::Unavailable; }
    [[nodiscard]] bool isActiveReader() const { return hasList_ && election_.isReader() && (isListed_ || !following_); }
    [[nodiscard]] bool isReadingStore() const
    {
        return reading() != StoreReading::None && hasRead_ && !ownReadsFailingSince_ && !isStoreOverdue_;
    }
    /// Ends the search for other sources, since this node reads the store itself again.
    void endSearch();
    [[nodiscard]] std::optional<SourceQuery> query(const Endpoint &node) const;
    [[nodiscard]] std::optional<SourceQuery> search(TimePoint now);
    void follow(const Endpoint &node, const SourceReport &report, TimePoint now);
    void recordUnavailableReport(const Endpoint &node, const SourceReport &report, TimePoint now);
    /// @p node has no news of the store.
    void recordNoNews(const Endpoint &node, TimePoint now);
    void scheduleStoreProbe(TimePoint now);

    CatalogTimes times_;
    Random random_;
    ReaderElection election_;
    Endpoint own_;
    /// Whether an instance list was taken. No node counts as a reader before that.
    bool hasList_ = false;
    bool isListed_ = false;
    std::size_t fleetSize_ = 1;
    std::optional<Endpoint> following_;
    SourceReport report_;
    TimePoint lastStoreReadAt_;
    /// Since when the followed node's reader has read the store without a failure.
    TimePoint sourceStoreAvailableSince_;
    TimePoint lastStoreAvailable_;
    /// Since when this node has read the store without a failure; nothing while it does not read or its calls fail.
    std::optional<TimePoint> ownStoreAvailableSince_;
    std::optional<TimePoint> ownReadsFailingSince_;
    /// When the store last answered this node.
    std::optional<TimePoint> lastStoreAnswerAt_;
    bool isStoreOverdue_ = false;
    /// Whether the store has answered this node since the node began to read.
    bool hasRead_ = false;
    /// Nothing while this node has a usable source.
    std::optional<LostReader> lostReader_;
    /// Whether a source has reported the store as unavailable, and none has reported otherwise since.
    bool hasUnavailableReport_ = false;
    /// Whether all substitutes were queried since that report, without a usable answer.
    bool isSearchExhausted_ = false;
    /// Whether no source was found yet, or all sources are silent.
    bool hasNoSource_ = true;
    /// Whether a probe by this node succeeded although other nodes report the store as unavailable.
    bool hasStoreProbeSucceeded_ = false;
    std::optional<TimePoint> nextStoreProbe_;
    TimePoint lastStoreProbe_;
    /// Whether a node was silent since a source was last followed: a store that is unavailable silences no node, so
    /// that this one may be on the wrong side of a cut.
    bool hasSilentNode_ = false;
};

}

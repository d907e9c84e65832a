#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/random.h"
#include "instances/catalogtimes.h"
#include "instances/readerelection.h"
#include "instances/storestate.h"

namespace Egretpath
{

/// How a node reads the store.
enum class StoreReading : std::uint8_t {
    /// It has its news from another node.
    None,
    /// For others as well.
    Usual,
    /// In place of others, with long pauses while the store is away.
    Standby,
};

/// What an answer of another node tells of where that has its news from.
struct SourceReport
{
    StoreState store = StoreState::Unavailable;
    /// Nodes between the one that answered and the store.
    std::uint8_t hops = 0;
    /// The node that reads the store for it; empty if none does.
    Endpoint reader;
    /// Since that node last read the store.
    Milliseconds age{0};
    /// For how long that node has read it without a loss.
    Milliseconds storeAvailableFor{0};
};

/// A question to another node for what is new.
struct SourceQuery
{
    Endpoint node;
    /// The answer may take so long when there is nothing newer.
    Milliseconds wait{0};
    /// What this node takes the other one's store to be; a change of it is news.
    StoreState known = StoreState::Available;
};

/// Decides whom a node follows, when it asks whom, and whether it reads the platform's store itself.
///
/// The load that it answers: a store that is away for seconds, at its worst moment called by every node of a fleet that
/// lost its readers. Here the few that read go on asking, a few deputies stand in for them, and the others stay where
/// they are and hear from their sources that the store is away, and when it is back. A store that turns some nodes away
/// is found out by asking nodes: deputies first, then those that read in other regions. Besides, the whole fleet looks
/// about once in a second, however large it is. A node whose sources are silent, so that nothing tells it of the store,
/// reads for itself.
///
/// Thread safety: none; one owner. Errors: none.
class CatalogPlan
{
public:
    CatalogPlan(RegionName region, const ReaderElectionSettings &readers, const CatalogTimes &times, Random random);

    /// Takes a changed list. @p own: the node's address there, @p isListed: whether its upstream is on it.
    void listChanged(const InstanceDirectory &directory, const Endpoint &own, bool isListed);
    /// This node begins to read; whether the store answers it is not known before it has.
    void beginReading(TimePoint now);
    /// Its own reading brought something.
    void recordStoreRead(TimePoint now);
    /// This node's own calls to the store fail from now on, or succeed again.
    void ownReadingLost(TimePoint now);
    void ownReadingBack(TimePoint now);
    /// @p node answered, or did not.
    void answered(const Endpoint &node, const SourceReport &report, TimePoint now);
    void silent(const Endpoint &node, TimePoint now);
    /// A cheap look at the store succeeded though others say that it is away.
    void storeProbeSucceeded(TimePoint now);

    /// Whom to ask now; nothing: nobody. Precondition: the list was told.
    [[nodiscard]] std::optional<SourceQuery> nextQuery(TimePoint now);
    [[nodiscard]] StoreReading reading() const;
    /// Whether to look now whether the store answers this node; true once for each look.
    [[nodiscard]] bool wantsStoreProbe(TimePoint now);

    /// What to tell others of the store. @p settles: entries may be missing that this node's own reading lost.
    [[nodiscard]] StoreState store(TimePoint now, bool settles) const;
    /// Nodes between this one and the store, and the one that reads there. Nothing while it is this one.
    [[nodiscard]] std::uint8_t hops() const;
    [[nodiscard]] Endpoint reader() const;
    [[nodiscard]] Milliseconds age(TimePoint now) const;
    /// For how long that node has read the store without a loss; zero if it does not.
    [[nodiscard]] Milliseconds storeAvailableFor(TimePoint now) const;
    /// Whose news this node takes; nothing while it reads for itself.
    [[nodiscard]] const std::optional<Endpoint> &following() const { return following_; }
    /// The node followed says that the store is away, and nobody who was asked knows better.
    [[nodiscard]] bool isStoreReportedUnavailable() const { return !isFollowingWell() && following_ && searched_; }
    /// When the node that reads the store for this one last did.
    [[nodiscard]] TimePoint provenAt() const { return provenAt_; }
    /// The last time that some node is known to have read the store; what lapsed did so later.
    [[nodiscard]] TimePoint lastStoreAvailable() const { return lastStoreAvailable_; }
    /// Since when this node's own calls fail; nothing while they do not.
    [[nodiscard]] const std::optional<TimePoint> &ownLostSince() const { return ownLostSince_; }

private:
    [[nodiscard]] bool isUsable(const SourceReport &report) const;
    [[nodiscard]] bool isFollowingWell() const { return following_ && report_.store != StoreState::Unavailable; }
    [[nodiscard]] bool isReaderHere() const { return hasList_ && election_.isReader() && (isListed_ || !following_); }
    [[nodiscard]] bool readsInOrder() const { return reading() != StoreReading::None && hasRead_ && !ownLostSince_; }
    [[nodiscard]] std::optional<SourceQuery> query(const Endpoint &node) const;
    [[nodiscard]] std::optional<SourceQuery> search(TimePoint now);
    void follow(const Endpoint &node, const SourceReport &report, TimePoint now);
    void noteAway(const Endpoint &node, const SourceReport &report, TimePoint now);
    void planLook(TimePoint now);

    CatalogTimes times_;
    Random random_;
    ReaderElection election_;
    Endpoint own_;
    /// Before it is known, nobody is one that reads for others.
    bool hasList_ = false;
    bool isListed_ = false;
    std::size_t fleetSize_ = 1;
    std::optional<Endpoint> following_;
    SourceReport report_;
    TimePoint provenAt_;
    /// Of the node that reads the store for the one followed.
    TimePoint sourceStoreAvailableSince_;
    TimePoint lastStoreAvailable_;
    /// Of this node's own reading; nothing while it does not read, or fails.
    std::optional<TimePoint> ownStoreAvailableSince_;
    std::optional<TimePoint> ownLostSince_;
    /// The store has answered this node since it began to read.
    bool hasRead_ = false;
    /// A source has said that the store is away, and none has said otherwise since.
    bool heardAway_ = false;
    /// All that could be asked were asked since.
    bool searched_ = false;
    /// No source was found as yet, or all are silent.
    bool isOrphan_ = true;
    /// This node saw that the store answers it though others say that it is away.
    bool isVolunteer_ = false;
    std::optional<TimePoint> nextLook_;
};

}

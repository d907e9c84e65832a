#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/random.h"
#include "distribution/bytebudget.h"
#include "distribution/exchangemessages.h"
#include "distribution/tablestore.h"
#include "membership/peerdirectory.h"

namespace Egretpath
{

/// How tables are passed on.
struct ExchangeSettings
{
    /// Receivers of a push in the own zone.
    std::size_t zoneFanOut = 6;
    /// Time between two pulls of a node, jittered by half.
    Milliseconds pullInterval{1'000};
    /// Time between two summaries that a ranked node asks for over a paid link, jittered by half.
    Milliseconds regionPullInterval{1'000};
    /// A difference over a paid link is repaired over it only after this time: in most cases the copy that
    /// is on its way, or the region's own reader, has ended it by then.
    Milliseconds paidRepairDelay{1'500};
    /// A pull without an answer is given up after this time.
    Milliseconds pullTimeout{1'000};
    /// How many receivers of a zone or region are tried for one copy.
    std::size_t pushTries = 3;
    /// Pushes, pulls, summaries and changes.
    Bytes controlBytesPerSecond{2'000};
    /// Holds a change of a thousand rows for each receiver of a push: a whole zone may drain at once.
    Bytes controlBurst{std::uint64_t{512} * 1024};
    /// The share of these that may cross paid links, for each node.
    Bytes paidBytesPerSecond{1'000};
    Bytes paidBurst{std::uint64_t{256} * 1024};
    /// Whole tables, which only starting nodes and nodes after a long split need, and changes that are too large for
    /// the control budget.
    Bytes wholeBytesPerSecond{std::uint64_t{32} * 1024};
    Bytes wholeBurst{std::uint64_t{4} * 1024 * 1024};
};

/// Passes tables from node to node.
///
/// A new version is pushed as a change: over each paid link once, to one node of each other zone, and from
/// node to node inside a zone. Pulls from one random peer at a time repair what was lost and carry the
/// readers' confirmations. The larger version wins; a smaller one is never applied.
/// Thread safety: none; one strand owns it. Times must not go backwards. Errors: none; bad payloads are
/// counted and the whole table is pulled instead.
class TableExchange
{
public:
    /// What a push leads to: the answer to its sender and requests to others.
    struct PushResult
    {
        TableSummary answer;
        ExchangeRequests requests;
    };

    /// Preconditions: @p store outlives this.
    TableExchange(ExchangeSettings settings, UpstreamName own, Location location, TableStore &store, std::uint64_t seed,
                  TimePoint now);

    /// Takes a new list.
    void setDirectory(std::shared_ptr<const PeerDirectory> directory) { directory_ = std::move(directory); }
    /// Until the start gate opens, summaries say that no table is in force. Starts as false.
    void setInForce(bool inForce) { inForce_ = inForce; }

    /// This node's own read found @p head at the platform at @p readAt. Confirms the table held if they are
    /// the same, and notes a conflict. To be called after loading, if the head was newer.
    void headRead(const TableVersion &head, TimePoint readAt);
    /// The store moved from @p former to a newer version by this node's own read of the platform. Passed on
    /// only if the table is in force here.
    [[nodiscard]] ExchangeRequests loaded(const std::optional<TableVersion> &former, TimePoint now);

    /// A push came from @p sender.
    [[nodiscard]] PushResult pushReceived(const VmRecord &sender, const PushChange &change, TimePoint now);
    /// A pull came from @p sender, which stands at @p senderLocation.
    [[nodiscard]] PullAnswer pullReceived(const Location &senderLocation, const PullRequest &request, TimePoint now);

    /// The answer to a push that this node sent. If the receiver has a larger version, it is pulled.
    [[nodiscard]] ExchangeRequests pushAnswered(const VmRecord &receiver, const TableSummary &answer, TimePoint now);
    /// A push could not be delivered, or its answer did not come. Another receiver of the same zone or
    /// region is tried, since the loss of this copy would cut off all behind it.
    [[nodiscard]] ExchangeRequests pushFailed(const OutgoingPush &push, TimePoint now);
    /// The answer to a pull that was sent at @p sentAt. The whole round trip is added to the age of the
    /// confirmation, so that a paused node or slow link never makes it look younger than it is.
    [[nodiscard]] ExchangeRequests pullAnswered(const VmRecord &receiver, const PullAnswer &answer, TimePoint sentAt,
                                                TimePoint now);
    void pullFailed(const OutgoingPull &pull);

    /// Periodic work. Call it at nextAt().
    [[nodiscard]] ExchangeRequests tick(TimePoint now);
    [[nodiscard]] TimePoint nextAt() const;

    /// A pull of the table from @p receiver, for a start gate in Fetching.
    [[nodiscard]] ExchangeRequests fetchFrom(const VmRecord &receiver, TimePoint now);

    /// @p version is in force somewhere (see StartGate::heard()).
    void hear(const TableVersion &version);
    /// What this node tells others.
    [[nodiscard]] TableSummary summary(TimePoint now) const;
    /// When a reader last found what was then held here at the platform's head. A platform that serves an
    /// older table than the one held confirms nothing.
    [[nodiscard]] std::optional<TimePoint> confirmedAt() const { return confirmedAt_; }
    /// The largest version heard of.
    [[nodiscard]] const std::optional<TableVersion> &heard() const { return heard_; }
    /// Set while the table held shares its number with another that was seen.
    [[nodiscard]] const std::optional<TableConflict> &conflict() const { return conflict_; }

    [[nodiscard]] const ByteBudget &controlBudget() const { return controlBudget_; }
    [[nodiscard]] const ByteBudget &paidBudget() const { return paidBudget_; }
    [[nodiscard]] const ByteBudget &wholeBudget() const { return wholeBudget_; }
    /// Payloads that did not check.
    [[nodiscard]] std::uint64_t badPayloads() const { return badPayloads_; }

private:
    /// A newer version seen behind a paid link, to be pulled if nothing nearer brings it.
    struct RegionRepair
    {
        VmRecord holder;
        TimePoint dueAt;
    };

    [[nodiscard]] bool isPaid(const Location &other) const { return other.region != location_.region; }
    [[nodiscard]] bool trySpend(const Location &receiver, std::size_t payloadBytes, TimePoint now);
    void spend(const Location &receiver, TimePoint now);
    void confirm(const TableVersion &version, TimePoint readAt);
    void noteConflict(const TableVersion &other);

    [[nodiscard]] ExchangeRequests adopted(const std::optional<TableVersion> &former, SpreadScope scope, TimePoint now);
    void pushToZone(const PushChange &change, ExchangeRequests &requests, TimePoint now);
    void pushToOtherZones(const PushChange &change, ExchangeRequests &requests, TimePoint now);
    void pushToNextRegion(const PushChange &change, ExchangeRequests &requests, TimePoint now);
    void repairPeer(const VmRecord &peer, const TableVersion &peerVersion, ExchangeRequests &requests, TimePoint now);
    void addPush(OutgoingPush push, ExchangeRequests &requests, TimePoint now);
    void addPull(const VmRecord &receiver, bool wantsTable, ExchangeRequests &requests, TimePoint now);
    void pullTable(const VmRecord &receiver, ExchangeRequests &requests, TimePoint now);
    void addPayload(const Location &receiver, const PullRequest &request, PullAnswer &answer, TimePoint now);
    [[nodiscard]] bool apply(const PullAnswer &answer);
    [[nodiscard]] const VmRecord *randomRegionPeer();
    [[nodiscard]] const VmRecord *randomForeignReader();
    [[nodiscard]] const VmRecord *nextRegionReceiver(const VmRecord &failed) const;
    [[nodiscard]] SpreadScope scopeTowards(const Location &other) const;
    [[nodiscard]] Duration jittered(Duration interval);

    ExchangeSettings settings_;
    UpstreamName own_;
    Location location_;
    TableStore &store_;
    Random random_;
    std::shared_ptr<const PeerDirectory> directory_;
    bool inForce_ = false;
    std::optional<TableVersion> heard_;
    std::optional<TimePoint> confirmedAt_;
    std::optional<TableConflict> conflict_;
    std::optional<TimePoint> tablePullSince_;
    std::optional<RegionRepair> regionRepair_;
    TimePoint adoptedAt_;
    TimePoint nextPullAt_;
    TimePoint nextRegionPullAt_;
    ByteBudget controlBudget_;
    ByteBudget paidBudget_;
    ByteBudget wholeBudget_;
    std::uint64_t badPayloads_ = 0;
};

}

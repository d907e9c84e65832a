#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>

#include "core/clock.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "membership/peerdirectory.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// What a node does at the platform now.
enum class ReadAction : std::uint8_t {
    None,
    /// A waiting watch on the head, re-armed whenever it returns. At most one is open.
    Watch,
    /// One read of the head.
    Poll,
};

/// The answer of ReaderElection::decide().
struct ReadDecision
{
    ReadAction action = ReadAction::None;
    /// When to ask again, if no event comes before.
    TimePoint nextAt;
};

/// How the platform is read.
struct ReaderSettings
{
    /// All fallback reads of the head together stay under this rate, a quarter of what the platform grants.
    /// Where all nodes find it newer at once, as when a whole fleet starts, each read of the head is followed
    /// by one of the table; so a table of up to three parts stays under the grant.
    double fleetReadsPerSecond = 500;
    /// How often the second and third of a region read the head.
    Milliseconds standbyInterval{1'000};
    /// How long the second and third of a region watch after they found the reader behind.
    Milliseconds takeoverHold{30'000};
    /// A node without a confirmation younger than this reads for itself.
    Milliseconds fallbackAfter{15'000};
    /// The shortest time between two fallback reads of a node.
    Milliseconds fallbackFloor{1'000};
    /// The longest time between two tries of a ranked node while reads fail.
    Milliseconds failureLimit{2'000};
    /// The size of the fleet to count with until a list is known.
    std::size_t assumedFleetSize = 1'000;
};

/// Decides which nodes read the platform, without talking to others.
///
/// Each region's live nodes are ranked by rendezvous hash. The first watches; the next two poll and take
/// over when they find the head newer than what the fleet passed them: then the reader is dead, frozen or
/// cut off, or has just lost a race, which costs no more than a second watch for a while. All others read only when no
/// reader's confirmation has reached them for long, each at an interval that grows with the fleet. A
/// starting node has no confirmation and reads by the same rule, so a zone or fleet may start at once.
/// Lists that differ between nodes cost double reads, never a wrong table: any node may read.
/// Thread safety: none; one strand owns it. Errors: none.
class ReaderElection
{
public:
    ReaderElection(ReaderSettings settings, UpstreamName own, std::uint64_t seed, TimePoint now);

    /// Takes a new list.
    void setDirectory(std::shared_ptr<const PeerDirectory> directory);
    /// The platform was read (by poll or watch): the head names @p head, while the fleet had passed this
    /// node @p held before that read.
    void headRead(const TableVersion &head, const std::optional<TableVersion> &held, TimePoint now);
    /// A read failed or timed out. The interval to the next one doubles, up to a limit.
    void readFailed(TimePoint now);
    /// The newest reader's confirmation known here was made at @p readAt. See TableExchange::confirmedAt().
    void setConfirmedAt(TimePoint readAt);

    /// What to do now. A returned Poll counts as made: the next one is planned from @p now.
    [[nodiscard]] ReadDecision decide(TimePoint now);
    /// The rank in the own region, if among the ranked.
    [[nodiscard]] std::optional<std::size_t> rank() const { return rank_; }

private:
    [[nodiscard]] ReadDecision decideReader(TimePoint now);
    [[nodiscard]] ReadDecision decideStandby(TimePoint now);
    [[nodiscard]] ReadDecision decideFallback(TimePoint now);
    [[nodiscard]] ReadDecision watch(TimePoint now) const;
    [[nodiscard]] ReadDecision poll(TimePoint now, Duration interval);
    [[nodiscard]] Duration fallbackInterval() const;
    [[nodiscard]] Duration jittered(Duration interval);

    ReaderSettings settings_;
    UpstreamName own_;
    Random random_;
    std::shared_ptr<const PeerDirectory> directory_;
    std::optional<std::size_t> rank_;
    TimePoint confirmedAt_;
    TimePoint watchUntil_;
    TimePoint nextPollAt_;
    bool fallbackPlanned_ = false;
    std::uint32_t failures_ = 0;
};

}

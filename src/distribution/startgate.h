#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "distribution/exchangemessages.h"
#include "membership/peerdirectory.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// How a starting node asks around.
struct StartGateSettings
{
    /// K: how many places the sample has, spread over regions, then zones.
    std::size_t sampleSize = 8;
    /// A place whose node has not answered is given to another node of the same zone after this time.
    Milliseconds answerTimeout{500};
    /// Empty answers count after this time if nobody has heard of any table.
    Milliseconds emptySettleTime{2'000};
    /// Empty answers count after this time even if a table was heard of.
    Milliseconds mixedSettleTime{10'000};
    /// In the second case a place is empty only after so many of its nodes said so.
    std::size_t emptyAnswersPerPlace = 3;
};

/// What the gate says.
enum class StartState : std::uint8_t {
    /// Too few answers. Refuse calls.
    Asking,
    /// Enough answers; the table they call for is not held yet. Refuse calls.
    Fetching,
    /// Serve with the version held. Final.
    Open,
};

struct StartDecision
{
    StartState state = StartState::Asking;
    /// For Fetching: the version to get, and from whom. Nothing: from the platform, or from whomever the
    /// periodic pulls find.
    std::optional<TableVersion> required;
    std::optional<UpstreamName> holder;
};

/// Keeps a starting node, whose memory is empty, from putting an older table in force than it had.
///
/// The platform may serve an old table, be down, or be cut off; peers may be behind or starting too. So
/// the node asks a sample with places spread over all regions and zones, and opens when more than half of
/// the places have answered; it then needs the largest version of all answers and the platform.
/// The places are tied to zones and a silent node is replaced only from its own zone: a part of the fleet
/// with less than half of the places cannot open the gate however many of its nodes are asked.
/// Thread safety: none; one strand owns it. Errors: none.
class StartGate
{
public:
    StartGate(StartGateSettings settings, UpstreamName own, std::uint64_t seed, TimePoint now);

    /// Takes a list (the platform's, or the seeds of the settings). May be called again as it grows. With
    /// an empty one the platform alone decides; before the first call the gate stays shut.
    void setDirectory(std::shared_ptr<const PeerDirectory> directory, TimePoint now);

    /// Whom to ask for a summary now (a pull with wantsTable = false). Call it at every event and about
    /// each 100 ms; a node is returned once for each request to be made.
    [[nodiscard]] std::vector<VmRecord> peersToAsk(TimePoint now);
    void peerAnswered(const UpstreamName &peer, const TableSummary &summary, TimePoint now);
    /// A request to @p peer failed: one of peersToAsk(), or the pull from the holder that decide() named. The
    /// next holder is named then.
    void peerFailed(const UpstreamName &peer, TimePoint now);
    /// The platform's head was read; nothing if the platform has no table. Until this was called, or the
    /// settle time passed, the gate waits for the platform.
    void platformAnswered(const std::optional<TableVersion> &head, TimePoint now);

    /// The state, given the version that the store holds. Once Open, always Open.
    [[nodiscard]] StartDecision decide(const std::optional<TableVersion> &held, TimePoint now);
    /// The largest version that any node is known to have in force; TableExchange::hear() takes it.
    [[nodiscard]] const std::optional<TableVersion> &heard() const { return heard_; }

private:
    /// One place of the sample.
    struct Place
    {
        Location location;
        std::optional<UpstreamName> asked;
        TimePoint nextAskAt;
        std::vector<UpstreamName> tried;
        std::size_t emptyAnswers = 0;
        bool informed = false;
        bool exhausted = false;
    };

    [[nodiscard]] std::vector<Location> placeLocations() const;
    [[nodiscard]] const VmRecord *nextPeer(Place &place);
    [[nodiscard]] const VmRecord *untriedPeer(const Place &place);
    [[nodiscard]] bool isTried(const UpstreamName &peer) const;
    [[nodiscard]] bool counts(const Place &place, TimePoint now) const;
    void hear(const TableVersion &version);
    [[nodiscard]] std::optional<TableVersion> required() const;
    [[nodiscard]] bool platformSettled(TimePoint now) const;
    [[nodiscard]] Place *placeOf(const UpstreamName &peer);
    [[nodiscard]] bool hasEnough(TimePoint now) const;

    StartGateSettings settings_;
    UpstreamName own_;
    Random random_;
    TimePoint startedAt_;
    std::shared_ptr<const PeerDirectory> directory_;
    std::vector<Place> places_;
    std::optional<TableVersion> heard_;
    /// Nodes with the largest version heard of in force.
    std::vector<UpstreamName> holders_;
    std::optional<TableVersion> platformVersion_;
    bool platformSeen_ = false;
    bool open_ = false;
};

}

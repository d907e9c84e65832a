#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/random.h"
#include "membership/membershipview.h"
#include "membership/peerdirectory.h"

namespace Egretpath
{

/// How membership news is passed on.
struct SpreadSettings
{
    /// Time between two rounds. About eleven rounds reach 22,000 nodes of 16 zones.
    Milliseconds interval{200};
    /// Receivers in the own zone in each round.
    std::size_t zoneFanOut = 3;
    /// In how many rounds news is sent to other zones and regions; each time to another node.
    std::uint8_t outwardRounds = 2;
    /// News in one message.
    std::size_t noticesPerMessage = 32;
};

/// News to be sent to one node.
struct NoticeBatch
{
    VmRecord receiver;
    std::vector<MembershipNotice> notices;
};

/// Passes the news of a MembershipView on, rumour style.
///
/// Every node sends to random nodes of its own zone in each round. What its maker announced also goes to
/// one node of each other zone of the region and one ranked reader of each other region, in the first
/// rounds only; the scope in the notice tells the receivers how far to go on.
/// Thread safety: none; one strand owns it. Errors: none.
class NoticeSpreader
{
public:
    /// Preconditions: @p view outlives this.
    NoticeSpreader(SpreadSettings settings, UpstreamName own, Location location, MembershipView &view,
                   std::uint64_t seed);

    void setDirectory(std::shared_ptr<const PeerDirectory> directory) { directory_ = std::move(directory); }
    /// When tick() next has something to do.
    [[nodiscard]] TimePoint nextAt() const { return nextAt_; }
    /// The messages of one round, if one is due.
    [[nodiscard]] std::vector<NoticeBatch> tick(TimePoint now);

private:
    void addToZone(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches);
    void addToOtherZones(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches);
    void addToOtherRegions(const std::vector<DueNotice> &due, std::vector<NoticeBatch> &batches);

    SpreadSettings settings_;
    UpstreamName own_;
    Location location_;
    MembershipView &view_;
    Random random_;
    std::shared_ptr<const PeerDirectory> directory_;
    TimePoint nextAt_{};
};

}

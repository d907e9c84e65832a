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
    /// Time between two rounds. Five to six rounds reach the fleet.
    Milliseconds interval{250};
    /// Receivers in the own zone in each round.
    std::size_t zoneFanOut = 3;
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
/// Every node sends to random nodes of its own zone. Each zone is reached from the others of its region
/// by one random receiver a round with a chance that keeps the sum over a zone near a few messages;
/// only a region's ranked readers send over the paid links, to the same rank of the other regions.
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
    [[nodiscard]] std::vector<PeerDirectory::Index> receivers();
    void addOtherZones(std::vector<PeerDirectory::Index> &receivers);
    void addOtherRegions(std::vector<PeerDirectory::Index> &receivers) const;

    SpreadSettings settings_;
    UpstreamName own_;
    Location location_;
    MembershipView &view_;
    Random random_;
    std::shared_ptr<const PeerDirectory> directory_;
    TimePoint nextAt_{};
};

}

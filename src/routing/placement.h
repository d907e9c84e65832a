#pragma once

#include <optional>
#include <span>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/linkprices.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "routing/link.h"
#include "routing/placementview.h"

namespace Egretpath
{

/// An upstream that a request may be sent to.
struct PlacementCandidate
{
    UpstreamName upstream;
    Location location;
    /// Whether the upstream has just started and is still slow.
    bool isWarmingUp = false;
};

/// The input of one placement decision. The spans have to stay valid during Placement::choose().
struct PlacementRequest
{
    std::span<const PlacementCandidate> candidates;
    /// Upstreams that this request was already sent to, or that declined it.
    std::span<const UpstreamName> excluded;
    PlacementDemand demand;
    /// Time from now until an answer loses most of its worth.
    Duration targetLeft{0};
    /// Size of the request's body plus the expected size of the answer's body.
    Bytes bodies;
    TimePoint now;
};

/// The result of a placement decision.
struct PlacementChoice
{
    /// Index in PlacementRequest::candidates.
    std::size_t candidate = 0;
    /// Expected time from now to the answer, including the round trip on the link.
    Duration expected{0};
    /// If the chosen upstream's node expects to take longer than this, the second-best upstream is the better choice;
    /// zero if there is no other upstream or all others are ejected.
    Duration declineThreshold{0};
    LinkKind link = LinkKind::InZone;
};

/// Tuning constants of Placement.
struct PlacementSettings
{
    /// Round-trip time between the VMs of two zones of a region.
    Duration zoneRoundTrip = Microseconds{2800};
    Duration regionRoundTrip = Milliseconds{17};
    /// Expected times are increased by a random share of up to this value, less if the load report is fresh. Otherwise
    /// nodes with the same old reports would all choose the same upstream.
    double jitter = 0.15;
    /// Factor by which work takes longer at an upstream that is warming up. Applies only until the first load report of
    /// the upstream's node.
    double warmUpFactor = 1.5;
    LinkPrices prices;
    /// Bytes of an exchange in addition to its bodies: headers and framing, which are compressed between regions.
    Bytes zoneOverhead{1300};
    Bytes regionOverhead{300};
};

/// The cost of waiting, as a share of what an answer that arrives in time is worth. @p shareOfTarget is the expected
/// time divided by the time left until the target.
///
/// The cost rises slowly while the target will be met anyway, steeply where the target is at risk, and slowly again
/// when the target will be missed.
///
/// Thread safety: safe. Errors: none.
[[nodiscard]] double costOfWaiting(double shareOfTarget);
/// The inverse of costOfWaiting(): the share of the target at which waiting costs @p cost; zero for a cost of zero or
/// less.
[[nodiscard]] double shareOfTargetAt(double cost);

/// Picks the upstream where a request costs least. The cost consists of time that puts the target at risk and of bytes
/// on paid links.
///
/// Load pattern: VMs become four times slower for some tenths of a second at a time. This costs far more than sending
/// a request to another region, and load reports are nearly as old as such a period is long. A choice is therefore an
/// estimate. The node beside the upstream knows the current state and may decline the request if the alternative looks
/// better.
///
/// Thread safety: none.
class Placement
{
public:
    Placement(Location ownLocation, const PlacementView &view, Random random, PlacementSettings settings = {});

    /// Chooses an upstream; nothing if all candidates are excluded. Ejected upstreams are chosen only if no other is
    /// left, so that a wrong suspicion does not make a service unreachable.
    [[nodiscard]] std::optional<PlacementChoice> choose(const PlacementRequest &request);
    void setPrices(const LinkPrices &prices) { settings_.prices = prices; }

private:
    struct RatedCandidate
    {
        std::size_t candidate = 0;
        double seconds = 0.0;
        double roundTripSeconds = 0.0;
        double linkCost = 0.0;
        /// Total cost of time and bytes.
        double cost = 0.0;
        bool isEjected = false;
    };

    [[nodiscard]] RatedCandidate rate(const PlacementRequest &request, std::size_t candidate);
    void addLink(RatedCandidate &rated, LinkKind link, Bytes bodies) const;

    Location ownLocation_;
    const PlacementView &view_;
    Random random_;
    PlacementSettings settings_;
    std::vector<RatedCandidate> rated_;
};

}

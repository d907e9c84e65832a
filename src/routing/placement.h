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

/// An upstream that a request may go to.
struct PlacementCandidate
{
    UpstreamName upstream;
    Location location;
    /// It started a short time ago and is still slow.
    bool warmingUp = false;
};

/// One decision to make. The spans stay valid during Placement::choose().
struct PlacementRequest
{
    std::span<const PlacementCandidate> candidates;
    /// Upstreams that this request was sent to, or that declined it.
    std::span<const UpstreamName> excluded;
    PlacementDemand demand;
    /// From now until an answer loses most of its worth.
    Duration targetLeft{0};
    /// Bytes of the request's body and of the answer's that is to be expected.
    Bytes bodies;
    TimePoint now;
};

/// Where a request goes.
struct PlacementChoice
{
    /// Index in PlacementRequest::candidates.
    std::size_t candidate = 0;
    /// From now to the answer, crossings included.
    Duration expected{0};
    /// If the answer takes longer than this from the chosen upstream's node on, the next best is the better choice;
    /// zero if there is no other.
    Duration declineThreshold{0};
    LinkKind link = LinkKind::InZone;
};

/// Constants of Placement.
struct PlacementSettings
{
    /// There and back between zones of a region, measured between the VMs.
    Duration zoneCrossing = Microseconds{2800};
    Duration regionCrossing = Milliseconds{17};
    /// Expected times are varied by up to this share, less where the news is fresh, so that nodes with the same old
    /// news don't all choose the same upstream.
    double jitter = 0.15;
    /// How much longer work takes at an upstream that is warming up.
    double warmUpFactor = 1.5;
    LinkPrices prices;
    /// What an exchange weighs beside its bodies: heads and framing, which are compressed between regions.
    Bytes zoneEnvelope{1300};
    Bytes regionEnvelope{300};
};

/// What waiting costs, as a share of what an answer in time is worth, against the time expected over the time left.
///
/// Rises slowly while the target will be met anyway, steeply where it is at stake, and slowly again when it is lost.
/// Thread safety: safe. Errors: none.
[[nodiscard]] double costOfWaiting(double shareOfTarget);
/// The share of the target at which waiting costs @p cost; zero for a cost of zero or less.
[[nodiscard]] double shareOfTargetAt(double cost);

/// Picks the upstream where a request costs least: in time that puts its target at risk, and in bytes on paid links.
///
/// The load that it answers: VMs turn four times slower for some tenths of a second at a time, which costs far more
/// than crossing a region, and whatever is known of them is nearly as old as that. So a choice is a guess that the node
/// beside the upstream, which knows, may decline when the alternative looks better. Thread safety: none.
class Placement
{
public:
    Placement(Location own, const PlacementView &view, Random random, PlacementSettings settings = {});

    /// Nothing if all candidates are excluded. Upstreams that are shut are taken only when no other is left, since a
    /// wrong suspicion must not make a service unreachable.
    [[nodiscard]] std::optional<PlacementChoice> choose(const PlacementRequest &request);
    void setPrices(const LinkPrices &prices) { settings_.prices = prices; }

private:
    struct Rated
    {
        std::size_t candidate = 0;
        double seconds = 0.0;
        double crossingSeconds = 0.0;
        double linkCost = 0.0;
        /// Time and bytes together.
        double cost = 0.0;
        bool ejected = false;
    };

    [[nodiscard]] Rated rate(const PlacementRequest &request, std::size_t candidate);
    void addLink(Rated &rated, LinkKind link, Bytes bodies) const;

    Location own_;
    const PlacementView &view_;
    Random random_;
    PlacementSettings settings_;
    std::vector<Rated> rated_;
};

}

#include "routing/placement.h"

#include <algorithm>
#include <tuple>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// Shares of the target between which the risk of a late answer rises linearly; beyond RiskEnd the answer counts as
/// late. The expected time is uncertain by about a third, since work and the VMs' slowdown vary.
constexpr double RiskStart = 0.5;
constexpr double RiskEnd = 1.3;
/// Cost of waiting for the full length of the target in addition to the risk. It makes the quicker of two safe choices
/// win.
constexpr double BaseSlope = 0.15;
/// Lower limit of the time left until the target, so that shares of the target stay finite.
constexpr Duration MinTarget = Milliseconds{10};
constexpr double BytesInKiB = 1024.0;

/// Draws a value in [0, 1).
double drawUnitInterval(Random &random)
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
    return static_cast<double>(random() >> (64 - MantissaBits)) * Scale;
}

}

double costOfWaiting(double shareOfTarget)
{
    const double share = std::max(shareOfTarget, 0.0);
    return BaseSlope * share + std::clamp((share - RiskStart) / (RiskEnd - RiskStart), 0.0, 1.0);
}

double shareOfTargetAt(double cost)
{
    const double costAtRiskStart = BaseSlope * RiskStart;
    const double costAtRiskEnd = BaseSlope * RiskEnd + 1.0;
    if (cost <= costAtRiskStart) {
        return std::max(cost, 0.0) / BaseSlope;
    }
    if (cost >= costAtRiskEnd) {
        return RiskEnd + (cost - costAtRiskEnd) / BaseSlope;
    }
    return RiskStart + (cost - costAtRiskStart) / (BaseSlope + 1.0 / (RiskEnd - RiskStart));
}

Placement::Placement(Location ownLocation, const PlacementView &view, Random random, PlacementSettings settings)
    : ownLocation_(std::move(ownLocation))
    , view_(view)
    , random_(random)
    , settings_(settings)
{
}

std::optional<PlacementChoice> Placement::choose(const PlacementRequest &request)
{
    rated_.clear();
    for (std::size_t index = 0; index < request.candidates.size(); ++index) {
        const UpstreamName &upstream = request.candidates[index].upstream;
        if (std::find(request.excluded.begin(), request.excluded.end(), upstream) == request.excluded.end()) {
            rated_.push_back(rate(request, index));
        }
    }
    if (rated_.empty()) {
        return std::nullopt;
    }
    const auto isBetter = [](const RatedCandidate &left, const RatedCandidate &right) {
        return std::tie(left.isEjected, left.cost) < std::tie(right.isEjected, right.cost);
    };
    const std::size_t compared = std::min<std::size_t>(rated_.size(), 2);
    std::partial_sort(rated_.begin(), rated_.begin() + static_cast<std::ptrdiff_t>(compared), rated_.end(), isBetter);
    const RatedCandidate &best = rated_.front();
    PlacementChoice choice;
    choice.candidate = best.candidate;
    choice.expected = fromSeconds(best.seconds);
    choice.link = linkBetween(ownLocation_, request.candidates[best.candidate].location);
    if (compared > 1 && !rated_[1].isEjected) {
        // The chosen upstream's node measures time without the round trip on the link, so the round trip is subtracted.
        // Trying the second-best upstream after a decline costs that round trip as well.
        const double target = inSeconds(std::max(request.targetLeft, MinTarget));
        const double share = shareOfTargetAt(rated_[1].cost - best.linkCost);
        choice.declineThreshold = fromSeconds(std::max(share * target - best.roundTripSeconds, 0.0));
    }
    return choice;
}

Placement::RatedCandidate Placement::rate(const PlacementRequest &request, std::size_t candidate)
{
    const PlacementCandidate &item = request.candidates[candidate];
    RatedCandidate rated;
    rated.candidate = candidate;
    rated.isEjected = view_.isEjected(item.upstream, request.now, request.demand.priority);
    double upstreamSeconds = inSeconds(view_.expected(item.upstream, request.demand, request.now));
    if (item.isWarmingUp && view_.isUnknown(item.upstream)) {
        upstreamSeconds *= settings_.warmUpFactor;
    }
    addLink(rated, linkBetween(ownLocation_, item.location), request.bodies);
    const double jitter = settings_.jitter * view_.staleness(item.upstream, request.now);
    const double jitterFactor = 1.0 + jitter * drawUnitInterval(random_);
    rated.seconds = rated.roundTripSeconds + upstreamSeconds * jitterFactor;
    const double target = inSeconds(std::max(request.targetLeft, MinTarget));
    rated.cost = rated.linkCost + costOfWaiting(rated.seconds / target);
    return rated;
}

void Placement::addLink(RatedCandidate &rated, LinkKind link, Bytes bodies) const
{
    const auto kibibytes = [bodies](Bytes overhead) {
        return static_cast<double>(bodies.value() + overhead.value()) / BytesInKiB;
    };
    switch (link) {
    case LinkKind::InZone:
        break;
    case LinkKind::BetweenZones:
        rated.roundTripSeconds = inSeconds(settings_.zoneRoundTrip);
        rated.linkCost = kibibytes(settings_.zoneOverhead) * settings_.prices.zonePerKiB;
        break;
    case LinkKind::BetweenRegions:
        rated.roundTripSeconds = inSeconds(settings_.regionRoundTrip);
        rated.linkCost = kibibytes(settings_.regionOverhead) * settings_.prices.regionPerKiB;
        break;
    }
}

}

#include "routing/placement.h"

#include <algorithm>
#include <tuple>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// Of the target: from here on each part of it that passes puts an answer in time at risk, and beyond it is lost. The
/// expectation is uncertain by about a third, as work and the VMs' pace vary.
constexpr double RiskBegins = 0.5;
constexpr double RiskEnds = 1.3;
/// What each target's length of waiting costs besides, so that of two safe choices the quicker one is taken.
constexpr double Slope = 0.15;
/// A target that has nearly passed is taken for this long, so that shares of it stay finite.
constexpr Duration LeastTarget = Milliseconds{10};
constexpr double BytesInKiB = 1024.0;

/// A value in [0, 1).
double drawUnit(Random &random)
{
    constexpr int MantissaBits = 53;
    constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
    return static_cast<double>(random() >> (64 - MantissaBits)) * Scale;
}

}

double costOfWaiting(double shareOfTarget)
{
    const double share = std::max(shareOfTarget, 0.0);
    return Slope * share + std::clamp((share - RiskBegins) / (RiskEnds - RiskBegins), 0.0, 1.0);
}

double shareOfTargetAt(double cost)
{
    const double atBegin = Slope * RiskBegins;
    const double atEnd = Slope * RiskEnds + 1.0;
    if (cost <= atBegin) {
        return std::max(cost, 0.0) / Slope;
    }
    if (cost >= atEnd) {
        return RiskEnds + (cost - atEnd) / Slope;
    }
    return RiskBegins + (cost - atBegin) / (Slope + 1.0 / (RiskEnds - RiskBegins));
}

Placement::Placement(Location own, const PlacementView &view, Random random, PlacementSettings settings)
    : own_(std::move(own))
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
    const auto better = [](const Rated &left, const Rated &right) {
        return std::tie(left.ejected, left.cost) < std::tie(right.ejected, right.cost);
    };
    const std::size_t compared = std::min<std::size_t>(rated_.size(), 2);
    std::partial_sort(rated_.begin(), rated_.begin() + static_cast<std::ptrdiff_t>(compared), rated_.end(), better);
    const Rated &best = rated_.front();
    PlacementChoice choice;
    choice.candidate = best.candidate;
    choice.expected = fromSeconds(best.seconds);
    choice.link = linkBetween(own_, request.candidates[best.candidate].location);
    if (compared > 1 && !rated_[1].ejected) {
        // Its node sees the time without the crossing, and turning to the other one costs that crossing as well.
        const double target = inSeconds(std::max(request.targetLeft, LeastTarget));
        const double share = shareOfTargetAt(rated_[1].cost - best.linkCost);
        choice.declineThreshold = fromSeconds(std::max(share * target - best.crossingSeconds, 0.0));
    }
    return choice;
}

Placement::Rated Placement::rate(const PlacementRequest &request, std::size_t candidate)
{
    const PlacementCandidate &item = request.candidates[candidate];
    Rated rated;
    rated.candidate = candidate;
    rated.ejected = view_.isEjected(item.upstream, request.now);
    double there = inSeconds(view_.expected(item.upstream, request.demand, request.now));
    if (item.warmingUp && view_.isUnknown(item.upstream)) {
        there *= settings_.warmUpFactor;
    }
    addLink(rated, linkBetween(own_, item.location), request.bodies);
    const double jitter = settings_.jitter * view_.staleness(item.upstream, request.now);
    const double varied = 1.0 + jitter * drawUnit(random_);
    rated.seconds = rated.crossingSeconds + there * varied;
    const double target = inSeconds(std::max(request.targetLeft, LeastTarget));
    rated.cost = rated.linkCost + costOfWaiting(rated.seconds / target);
    return rated;
}

void Placement::addLink(Rated &rated, LinkKind link, Bytes bodies) const
{
    const auto kibibytes = [bodies](Bytes envelope) {
        return static_cast<double>(bodies.value() + envelope.value()) / BytesInKiB;
    };
    switch (link) {
    case LinkKind::InZone:
        break;
    case LinkKind::BetweenZones:
        rated.crossingSeconds = inSeconds(settings_.zoneCrossing);
        rated.linkCost = kibibytes(settings_.zoneEnvelope) * settings_.prices.zonePerKiB;
        break;
    case LinkKind::BetweenRegions:
        rated.crossingSeconds = inSeconds(settings_.regionCrossing);
        rated.linkCost = kibibytes(settings_.regionEnvelope) * settings_.prices.regionPerKiB;
        break;
    }
}

}

#include "routing/placement.h"

#include <algorithm>
#include <tuple>

#include "routing/weighteddraw.h"

namespace Egretpath
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(count));
}

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
        return std::tie(left.shut, left.seconds) < std::tie(right.shut, right.seconds);
    };
    const std::size_t compared = std::min<std::size_t>(rated_.size(), 2);
    std::partial_sort(rated_.begin(), rated_.begin() + static_cast<std::ptrdiff_t>(compared), rated_.end(), better);
    const Rated &best = rated_.front();
    PlacementChoice choice;
    choice.candidate = best.candidate;
    choice.expected = fromSeconds(best.seconds);
    choice.slowdown = best.slowdown;
    choice.link = linkBetween(own_, request.candidates[best.candidate].location);
    if (compared > 1 && !rated_[1].shut) {
        choice.alternative = fromSeconds(rated_[1].seconds);
    }
    return choice;
}

Placement::Rated Placement::rate(const PlacementRequest &request, std::size_t candidate)
{
    const PlacementCandidate &item = request.candidates[candidate];
    Rated rated;
    rated.candidate = candidate;
    rated.shut = view_.isShut(item.upstream, request.now);
    rated.slowdown = view_.slowdown(item.upstream, request.now);
    if (item.warmingUp && view_.isUnknown(item.upstream)) {
        rated.slowdown *= settings_.warmUpFactor;
    }
    const LinkKind link = linkBetween(own_, item.location);
    const double crossing = link == LinkKind::InZone ? 0.0
        : link == LinkKind::BetweenZones             ? seconds(settings_.zoneCrossing)
                                                     : seconds(settings_.regionCrossing);
    const double varied = 1.0 + settings_.jitter * drawUnit(random_);
    rated.seconds = crossing + seconds(request.usualTime) * rated.slowdown * varied;
    return rated;
}

}

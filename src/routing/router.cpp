#include "routing/router.h"

#include <algorithm>
#include <limits>

#include "routing/weighteddraw.h"

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 6> ReasonWords{
    "own-zone",         "zone-spill-wait",      "zone-spill-refused",
    "zone-spill-empty", "region-spill-refused", "region-spill-empty",
};

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

bool isExcluded(const RouteRequest &request, const UpstreamName &upstream)
{
    return std::find(request.excluded.begin(), request.excluded.end(), upstream) != request.excluded.end();
}

}

std::string_view toString(ChoiceReason reason)
{
    return ReasonWords.at(static_cast<std::size_t>(reason));
}

Router::Router(Location own, std::unique_ptr<RoutingStrategy> strategy, const LoadView &view, Random random,
               RouterSettings settings, WaitEstimatorSettings estimatorSettings)
    : own_(std::move(own))
    , strategy_(std::move(strategy))
    , view_(view)
    , random_(random)
    , settings_(settings)
    , estimator_(estimatorSettings)
{
}

Result<Choice> Router::choose(const RouteRequest &request)
{
    sortIntoGroups(request);
    ChoiceReason reason = ChoiceReason::OwnZone;
    const Group *group = pickGroup(request, reason);
    if (group == nullptr) {
        return refusal(request.now);
    }
    return chooseIn(*group, reason, request);
}

void Router::sortIntoGroups(const RouteRequest &request)
{
    ownZone_.clear();
    ownRegion_.clear();
    otherRegions_.resize(request.regionSpill.size());
    for (Group &group : otherRegions_) {
        group.clear();
    }
    soonestOpening_ = TimePoint::max();
    for (const Candidate &candidate : request.candidates) {
        if (candidate.weight > 0.0 && !isExcluded(request, candidate.upstream)) {
            sortCandidate(request, candidate);
        }
    }
}

Router::Group *Router::groupOf(const RouteRequest &request, const Candidate &candidate)
{
    const LinkKind link = linkBetween(own_, candidate.location);
    if (link == LinkKind::InZone) {
        return &ownZone_;
    }
    if (link == LinkKind::BetweenZones) {
        return &ownRegion_;
    }
    for (std::size_t index = 0; index < request.regionSpill.size(); ++index) {
        const RegionSpill &spill = request.regionSpill[index];
        if (spill.region == candidate.location.region && spill.weight > 0.0) {
            return &otherRegions_[index];
        }
    }
    return nullptr;
}

void Router::sortCandidate(const RouteRequest &request, const Candidate &candidate)
{
    Group *group = groupOf(request, candidate);
    if (group == nullptr) {
        return;
    }
    const UpstreamLoad *load = view_.find(candidate.upstream);
    if (load != nullptr && load->hasReport && load->report.leaving) {
        return;
    }
    if (load != nullptr && load->refusedUntil > request.now) {
        ++group->refusing;
        soonestOpening_ = std::min(soonestOpening_, load->refusedUntil);
        return;
    }
    group->open.push_back(&candidate);
}

const Router::Group *Router::pickGroup(const RouteRequest &request, ChoiceReason &reason)
{
    if (!ownZone_.open.empty()) {
        const bool spills = !ownRegion_.open.empty() && otherZoneIsFaster(request.now);
        reason = spills ? ChoiceReason::ZoneSpillWait : ChoiceReason::OwnZone;
        return spills ? &ownRegion_ : &ownZone_;
    }
    if (!ownRegion_.open.empty()) {
        reason = ownZone_.refusing > 0 ? ChoiceReason::ZoneSpillRefused : ChoiceReason::ZoneSpillEmpty;
        return &ownRegion_;
    }
    const bool refused = ownZone_.refusing + ownRegion_.refusing > 0;
    reason = refused ? ChoiceReason::RegionSpillRefused : ChoiceReason::RegionSpillEmpty;
    return drawRegion(request.regionSpill);
}

bool Router::otherZoneIsFaster(TimePoint now) const
{
    return bestExpected(ownZone_, now) > bestExpected(ownRegion_, now) + microseconds(settings_.zoneCrossing);
}

const Router::Group *Router::drawRegion(std::span<const RegionSpill> spill)
{
    regionWeights_.clear();
    bool anyOpen = false;
    for (std::size_t index = 0; index < spill.size(); ++index) {
        const bool open = !otherRegions_[index].open.empty();
        anyOpen = anyOpen || open;
        regionWeights_.push_back(open ? spill[index].weight : 0.0);
    }
    return anyOpen ? &otherRegions_[drawWeighted(regionWeights_, random_)] : nullptr;
}

Duration Router::crossingOf(LinkKind link) const
{
    switch (link) {
    case LinkKind::BetweenZones:
        return settings_.zoneCrossing;
    case LinkKind::BetweenRegions:
        return settings_.regionCrossing;
    default:
        return Duration{0};
    }
}

double Router::bestExpected(const Group &group, TimePoint now) const
{
    double best = std::numeric_limits<double>::max();
    for (const Candidate *candidate : group.open) {
        best = std::min(best, estimator_.expectedMicroseconds(*candidate, view_, now));
    }
    return best;
}

Choice Router::chooseIn(const Group &group, ChoiceReason reason, const RouteRequest &request)
{
    const Candidate &chosen = *group.open[strategy_->choose(group.open, view_, random_, request.now)];
    Choice choice;
    choice.upstream = chosen.upstream;
    choice.candidate = static_cast<std::size_t>(&chosen - request.candidates.data());
    choice.reason = reason;
    choice.link = linkBetween(own_, chosen.location);
    choice.score = strategy_->score(chosen, view_, request.now);
    choice.expectedMicroseconds =
        estimator_.expectedMicroseconds(chosen, view_, request.now) + microseconds(crossingOf(choice.link));
    choice.considered = group.open.size();
    fillAlternatives(choice, group, request);
    return choice;
}

void Router::fillAlternatives(Choice &choice, const Group &group, const RouteRequest &request) const
{
    const auto begin = choice.alternatives.begin();
    for (const Candidate *candidate : group.open) {
        const auto index = static_cast<std::size_t>(candidate - request.candidates.data());
        if (index == choice.candidate) {
            continue;
        }
        const Alternative alternative{index, strategy_->score(*candidate, view_, request.now)};
        const auto end = begin + static_cast<std::ptrdiff_t>(choice.alternativeCount);
        const auto place =
            std::find_if(begin, end, [&](const Alternative &other) { return alternative.score < other.score; });
        if (place == choice.alternatives.end()) {
            continue;
        }
        const bool full = choice.alternativeCount == choice.alternatives.size();
        std::move_backward(place, full ? end - 1 : end, full ? end : end + 1);
        *place = alternative;
        choice.alternativeCount += full ? 0 : 1;
    }
}

Failure Router::refusal(TimePoint now)
{
    const bool refusing = soonestOpening_ != TimePoint::max();
    const Duration wait = refusing ? soonestOpening_ - now : Duration{settings_.defaultRetryAfter};
    const double jitter = 1.0 + settings_.retryAfterJitter * drawUnit(random_);
    const auto retryAfter = std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(wait) * jitter);
    return notRun(refusing ? Reason::Overloaded : Reason::NoUpstream,
                  refusing ? "all upstreams refuse" : "no upstream can take the call", retryAfter);
}

}

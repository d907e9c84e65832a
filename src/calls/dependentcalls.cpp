#include "calls/dependentcalls.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace Egretpath
{

namespace
{

/// A call arrives a little after its timeout was read from the time that its parent had left.
constexpr Milliseconds TimeoutTolerance{25};
constexpr std::chrono::seconds MaxAdoptedAge{60};
/// Limits the memory. Route tables are smaller by far, but names of removed routes stay.
constexpr std::size_t MaxRoutes = 2048;
/// The comparisons with chance at each arrival, which bound its cost.
constexpr int SamplesPerArrival = 2;
constexpr std::uint32_t ProbeInterval = 10;
/// Each start of a parent multiplies the earlier counts by this factor.
constexpr double StartDecay = 1.0 - 1.0 / 200;
/// The number of parents without which the number of calls that each makes is not known.
constexpr double MinStarts = 20.0;
/// The answers that must be expected before their absence shows anything.
constexpr double MinExpectedAnswers = 3.0;
constexpr double MinChance = 0.5;

/// Returns the chance that all calls that a request makes get an answer. The answers are compared with those that as
/// many requests got while the callee was well: a count of failed tries would count each retry of a call.
double chanceOfAllAnswers(const CallParent &parent, const CallOutcomes &outcomes, TimePoint now)
{
    if (parent.starts < MinStarts) {
        return 1.0;
    }
    const double callsPerParent = parent.answers / parent.starts;
    const double expected = callsPerParent * parent.recentStarts.value(now);
    if (expected < MinExpectedAnswers) {
        // Few requests are let through while the others are refused.
        return outcomes.answered(now) < expected / 2 ? 0.0 : 1.0;
    }
    return std::pow(std::min(outcomes.answered(now) / expected, 1.0), callsPerParent);
}

}

std::string_view toString(CallStanding standing)
{
    switch (standing) {
    case CallStanding::Dependent:
        return "dependent";
    case CallStanding::Adopted:
        return "adopted";
    case CallStanding::Independent:
        return "independent";
    case CallStanding::Unknown:
        break;
    }
    return "unknown";
}

void DependentCalls::setUpstream(const UpstreamName &upstream)
{
    if (upstream_ != upstream) {
        clear();
        upstream_ = upstream;
    }
}

void DependentCalls::clear()
{
    indexes_.clear();
    routes_.clear();
    running_.clear();
    recentCount_ = 0;
    nextRecent_ = 0;
    nextSample_ = 0;
}

CallRouteIndex DependentCalls::indexOf(const RouteName &route)
{
    if (const auto found = indexes_.find(route); found != indexes_.end()) {
        return found->second;
    }
    if (routes_.size() >= MaxRoutes) {
        clear();
    }
    const CallRouteIndex index(static_cast<std::uint32_t>(routes_.size()));
    routes_.emplace_back().name = route;
    indexes_.emplace(route, index);
    return index;
}

const DependentCalls::RouteState *DependentCalls::find(const RouteName &route) const
{
    const auto found = indexes_.find(route);
    return found == indexes_.end() ? nullptr : &routes_[found->second.value()];
}

void DependentCalls::onStarted(CallId call, const RouteName &route, std::uint8_t priority, TimePoint deadline,
                               TimePoint now)
{
    const CallRouteIndex index = indexOf(route);
    running_.push_back({call, index, priority, deadline});
    for (const CallRouteIndex callee : stateOf(index).callees) {
        RouteState &calls = stateOf(callee);
        CallParent *parent = calls.evidence.findParent(index);
        if (parent == nullptr) {
            continue;
        }
        parent->recentStarts.add(1.0, now);
        if (calls.outcomes.isHealthy(now)) {
            parent->starts = parent->starts * StartDecay + 1.0;
            parent->answers *= StartDecay;
        }
    }
}

void DependentCalls::onEnded(CallId call)
{
    const auto found =
        std::find_if(running_.begin(), running_.end(), [call](const auto &item) { return item.call == call; });
    if (found != running_.end()) {
        *found = running_.back();
        running_.pop_back();
    }
}

CallDecision DependentCalls::onArrival(const RouteName &route, Duration timeout, TimePoint now)
{
    const CallRouteIndex index = indexOf(route);
    // The arrivals of calls depend on the requests that run, so they show nothing about chance.
    if (stateOf(index).evidence.standing() != CallEvidence::Standing::Dependent) {
        sampleChance(index, now);
    }
    findSuitable(timeout, now);
    RouteState &state = stateOf(index);
    state.evidence.recordArrival(suitable_);
    recent_[nextRecent_] = {index, timeout};
    nextRecent_ = (nextRecent_ + 1) % RecentCount;
    recentCount_ = std::min(recentCount_ + 1, RecentCount);

    CallDecision decision;
    decision.standing = standingOf(state, now);
    const CallStanding previous = std::exchange(state.lastStanding, decision.standing);
    decision.hasChanged = previous != decision.standing && (decision.isDependent() || isDependent(previous));
    if (decision.isDependent()) {
        decision.parentPriority = parentPriority(state);
    }
    if (decision.standing == CallStanding::Dependent) {
        recordCallees(index);
    }
    return decision;
}

void DependentCalls::findSuitable(Duration timeout, TimePoint now)
{
    suitable_.clear();
    const TimePoint minDeadline = now + timeout - TimeoutTolerance;
    for (const RunningRequest &request : running_) {
        if (request.deadline < minDeadline) {
            continue;
        }
        const auto known = std::find_if(suitable_.begin(), suitable_.end(),
                                        [&](const SuitableRoute &item) { return item.route == request.route; });
        if (known == suitable_.end()) {
            suitable_.push_back({request.route, request.priority});
        } else {
            known->priority = std::max(known->priority, request.priority);
        }
    }
}

void DependentCalls::sampleChance(CallRouteIndex arrived, TimePoint now)
{
    for (int sample = 0; sample < SamplesPerArrival && recentCount_ > 0; ++sample) {
        nextSample_ = (nextSample_ + 1) % recentCount_;
        const RecentArrival &other = recent_[nextSample_];
        if (other.route != arrived) {
            findSuitable(other.timeout, now);
            stateOf(other.route).evidence.recordChance(suitable_);
        }
    }
}

void DependentCalls::recordCallees(CallRouteIndex callee)
{
    for (const CallParent &parent : stateOf(callee).evidence.parents()) {
        std::vector<CallRouteIndex> &callees = stateOf(parent.route).callees;
        if (parent.isParent && std::find(callees.begin(), callees.end(), callee) == callees.end()) {
            callees.push_back(callee);
        }
    }
}

CallStanding DependentCalls::standingOf(const RouteState &route, TimePoint now)
{
    switch (route.evidence.standing()) {
    case CallEvidence::Standing::Dependent:
        return CallStanding::Dependent;
    case CallEvidence::Standing::Independent:
        return CallStanding::Independent;
    case CallEvidence::Standing::Unknown:
        break;
    }
    const bool isAdopted = route.adoptedAt && now - *route.adoptedAt <= MaxAdoptedAge;
    return isAdopted ? CallStanding::Adopted : CallStanding::Unknown;
}

std::optional<std::uint8_t> DependentCalls::parentPriority(const RouteState &route)
{
    std::optional<std::uint8_t> best;
    for (const CallParent &parent : route.evidence.parents()) {
        if (parent.isParent) {
            best = std::min(best.value_or(parent.priority), parent.priority);
        }
    }
    return best;
}

void DependentCalls::adopt(const RouteName &route, TimePoint now)
{
    stateOf(indexOf(route)).adoptedAt = now;
}

void DependentCalls::onCallEnded(const RouteName &route, bool isAnswered, TimePoint now)
{
    const auto found = indexes_.find(route);
    if (found == indexes_.end()) {
        return;
    }
    RouteState &state = stateOf(found->second);
    state.outcomes.record(isAnswered, now);
    if (!isAnswered || !state.outcomes.isHealthy(now)) {
        return;
    }
    for (CallParent &parent : state.evidence.parents()) {
        if (parent.isParent) {
            parent.answers += 1.0;
        }
    }
}

bool DependentCalls::wouldRefuse(const RouteName &route, TimePoint now) const
{
    const RouteState *state = find(route);
    if (state == nullptr) {
        return false;
    }
    const CallRouteIndex index = indexes_.find(route)->second;
    double chance = 1.0;
    for (const CallRouteIndex callee : state->callees) {
        const RouteState &calls = routes_[callee.value()];
        if (calls.evidence.standing() != CallEvidence::Standing::Dependent || !calls.outcomes.isFailing(now)) {
            continue;
        }
        for (const CallParent &parent : calls.evidence.parents()) {
            if (parent.route == index && parent.isParent) {
                chance *= chanceOfAllAnswers(parent, calls.outcomes, now);
            }
        }
    }
    return chance < MinChance;
}

bool DependentCalls::refuses(const RouteName &route, TimePoint now)
{
    if (!wouldRefuse(route, now)) {
        return false;
    }
    RouteState &state = stateOf(indexOf(route));
    state.refusals = (state.refusals + 1) % ProbeInterval;
    return state.refusals != 0;
}

std::vector<DependentRouteState> DependentCalls::states(TimePoint now) const
{
    std::vector<DependentRouteState> states;
    for (const RouteState &route : routes_) {
        const CallStanding standing = standingOf(route, now);
        if (isDependent(standing)) {
            states.push_back({route.name, standing, parentPriority(route), route.outcomes.unansweredShare(now),
                              route.outcomes.isFailing(now)});
        }
    }
    return states;
}

}

#include "calls/callevidence.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

/// Each arrival multiplies the earlier counts by this factor, so that the last few hundred arrivals count.
constexpr double CountDecay = 1.0 - 1.0 / 400;
/// The number of samples without which the share by chance is not known.
constexpr double MinSamples = 16.0;
/// The number of violations to be expected by chance without which their absence shows nothing: by chance none occurs
/// with a probability of e^-8.
constexpr double MinExpected = 8.0;
constexpr double MaxDependentShare = 1.0 / 20;
constexpr double MinIndependentShare = 1.0 / 4;
constexpr double MinViolations = 3.0;
/// A route of dependent calls stays one unless this share of its arrivals contradicts it. While the upstream is fully
/// loaded, suitable requests always run, and a few calls of cancelled requests would otherwise count as much.
constexpr double MinLeavingShare = 1.0 / 20;
/// A parent's requests run in at least the first share of the arrivals; below the second it is one no longer.
constexpr double MinParentShare = 0.9;
constexpr double MinKeptParentShare = 0.85;
constexpr double MinParentRatio = 2.0;
/// Limits the memory and the cost of an arrival. More routes hardly run at one upstream within some hundred arrivals.
constexpr std::size_t MaxParents = 16;

/// Returns the share of @p count in @p samples, less its standard error: with 16 samples and without this margin, one
/// in two hundred nodes took a callers' route for one of dependent calls within its first minute.
double lowerShare(double count, double samples)
{
    const double share = (count + 1.0) / (samples + 2.0);
    return std::max(share - std::sqrt(share * (1.0 - share) / (samples + 2.0)), 0.0);
}

}

void CallEvidence::recordArrival(std::span<const SuitableRoute> suitable)
{
    arrivals_ = arrivals_ * CountDecay + 1.0;
    violations_ = violations_ * CountDecay + (suitable.empty() ? 1.0 : 0.0);
    for (CallParent &parent : parents_) {
        parent.hits *= CountDecay;
    }
    for (const SuitableRoute &running : suitable) {
        CallParent *parent = findOrAdd(running.route);
        parent->hits += 1.0;
        parent->priority = running.priority;
    }
    updateStanding();
    updateParents();
}

void CallEvidence::recordChance(std::span<const SuitableRoute> suitable)
{
    samples_ = samples_ * CountDecay + 1.0;
    chanceViolations_ = chanceViolations_ * CountDecay + (suitable.empty() ? 1.0 : 0.0);
    for (CallParent &parent : parents_) {
        parent.chanceHits *= CountDecay;
    }
    for (const SuitableRoute &running : suitable) {
        findOrAdd(running.route)->chanceHits += 1.0;
    }
}

CallParent *CallEvidence::findParent(CallRouteIndex route)
{
    const auto found =
        std::find_if(parents_.begin(), parents_.end(), [&](const CallParent &item) { return item.route == route; });
    return found == parents_.end() ? nullptr : &*found;
}

CallParent *CallEvidence::findOrAdd(CallRouteIndex route)
{
    if (CallParent *parent = findParent(route)) {
        return parent;
    }
    if (parents_.size() >= MaxParents) {
        parents_.erase(std::min_element(parents_.begin(), parents_.end(), [](const auto &left, const auto &right) {
            return left.hits + left.chanceHits < right.hits + right.chanceHits;
        }));
    }
    CallParent &added = parents_.emplace_back();
    added.route = route;
    return &added;
}

bool CallEvidence::isDependence(double violations, double chanceShare) const
{
    const double expected = arrivals_ * chanceShare;
    return expected >= MinExpected && violations <= expected * MaxDependentShare;
}

void CallEvidence::updateStanding()
{
    if (samples_ < MinSamples) {
        return;
    }
    const double chanceShare = chanceViolations_ / samples_;
    const auto isDependentOn = [&](const CallParent &parent) {
        return isDependence(arrivals_ - parent.hits, lowerShare(samples_ - parent.chanceHits, samples_));
    };
    if (isDependence(violations_, lowerShare(chanceViolations_, samples_))
        || std::any_of(parents_.begin(), parents_.end(), isDependentOn)) {
        standing_ = Standing::Dependent;
        return;
    }
    const bool isLikeChance =
        violations_ >= MinViolations && violations_ > arrivals_ * chanceShare * MinIndependentShare;
    const bool mayLeave = standing_ != Standing::Dependent || violations_ > arrivals_ * MinLeavingShare;
    if (isLikeChance && mayLeave) {
        standing_ = Standing::Independent;
    }
}

void CallEvidence::updateParents()
{
    if (samples_ < MinSamples || arrivals_ < MinSamples) {
        return;
    }
    for (CallParent &parent : parents_) {
        const double share = parent.hits / arrivals_;
        const double chanceShare = parent.chanceHits / samples_;
        const bool isMoreThanChance = share >= chanceShare * MinParentRatio
            || isDependence(arrivals_ - parent.hits, lowerShare(samples_ - parent.chanceHits, samples_));
        // The comparison with chance fails while the upstream is fully loaded, so a known parent needs no new one.
        parent.isParent = parent.isParent ? share >= MinKeptParentShare : share >= MinParentShare && isMoreThanChance;
    }
}

}

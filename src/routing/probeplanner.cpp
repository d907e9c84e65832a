#include "routing/probeplanner.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

constexpr std::size_t BestCount = 2;

}

ProbePlanner::ProbePlanner(Location own, const LoadView &view, ProbeBudget &budget, ProbePlannerSettings settings,
                           WaitEstimatorSettings estimatorSettings)
    : own_(std::move(own))
    , view_(view)
    , budget_(budget)
    , settings_(settings)
    , estimator_(estimatorSettings)
{
}

std::vector<ProbePlanner::Ranked> ProbePlanner::rank(std::span<const Candidate> candidates, TimePoint now) const
{
    std::vector<Ranked> ranked;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const Candidate &candidate = candidates[index];
        if (candidate.weight > 0.0 && linkBetween(own_, candidate.location) != LinkKind::BetweenRegions) {
            ranked.push_back({index, estimator_.expectedMicroseconds(candidate, view_, now)});
        }
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &one, const Ranked &other) {
        return one.expectedMicroseconds < other.expectedMicroseconds;
    });
    return ranked;
}

std::vector<std::size_t> ProbePlanner::plan(std::span<const Candidate> candidates, TimePoint now)
{
    const std::vector<Ranked> ranked = rank(candidates, now);
    std::vector<std::size_t> probes;
    for (std::size_t place = 0; place < ranked.size(); ++place) {
        const Candidate &candidate = candidates[ranked[place].candidate];
        const double slow = settings_.suspectFactor * ranked.front().expectedMicroseconds;
        const bool suspected = ranked[place].expectedMicroseconds > slow;
        if (isWorthProbe(candidate, place < BestCount, suspected, now)
            && budget_.spend(linkBetween(own_, candidate.location), settings_.probeSize, now)) {
            probes.push_back(ranked[place].candidate);
        }
    }
    return probes;
}

bool ProbePlanner::isWorthProbe(const Candidate &candidate, bool amongBest, bool suspected, TimePoint now) const
{
    const UpstreamLoad *load = view_.find(candidate.upstream);
    if (load == nullptr) {
        return amongBest;
    }
    const TimePoint lastLook = std::max(load->reportTime, load->lastProbe);
    if (amongBest) {
        return now - lastLook > settings_.staleAfter;
    }
    return suspected && now - std::max(lastLook, load->lastSent) > settings_.suspectAfter;
}

}

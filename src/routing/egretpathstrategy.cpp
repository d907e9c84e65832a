#include "routing/egretpathstrategy.h"

#include <algorithm>

#include "routing/weighteddraw.h"

namespace Egretpath
{

EgretpathStrategy::EgretpathStrategy(EgretpathSettings settings)
    : settings_(settings)
    , estimator_(settings.estimator)
{
}

std::size_t EgretpathStrategy::choose(CandidateSpan candidates, const LoadView &view, Random &random, TimePoint now)
{
    weights_.clear();
    for (const Candidate *candidate : candidates) {
        weights_.push_back(drawWeight(*candidate, view, now));
    }
    const std::size_t draws = std::min(settings_.choices, candidates.size());
    std::size_t best = drawWeighted(weights_, random);
    weights_[best] = 0.0;
    double bestScore = score(*candidates[best], view, now);
    for (std::size_t draw = 1; draw < draws; ++draw) {
        const std::size_t other = drawWeighted(weights_, random);
        weights_[other] = 0.0;
        const double otherScore = score(*candidates[other], view, now);
        if (otherScore < bestScore) {
            best = other;
            bestScore = otherScore;
        }
    }
    return best;
}

double EgretpathStrategy::score(const Candidate &candidate, const LoadView &view, TimePoint now) const
{
    return estimator_.expectedMicroseconds(candidate, view, now);
}

double EgretpathStrategy::drawWeight(const Candidate &candidate, const LoadView &view, TimePoint now) const
{
    const UpstreamLoad *load = view.find(candidate.upstream);
    if (load == nullptr || !load->warmingUp) {
        return candidate.weight;
    }
    const std::chrono::duration<double> age = now - load->warmUpStart;
    const double progress = age / std::chrono::duration<double>(settings_.warmUp);
    return candidate.weight * std::clamp(progress, settings_.warmUpFloor, 1.0);
}

}

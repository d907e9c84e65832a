#include "routing/twochoicesstrategy.h"

#include "routing/weighteddraw.h"

namespace Egretpath
{

std::size_t TwoChoicesStrategy::choose(CandidateSpan candidates, const LoadView &view, Random &random, TimePoint now)
{
    weights_.clear();
    for (const Candidate *candidate : candidates) {
        weights_.push_back(candidate->weight);
    }
    const std::size_t first = drawWeighted(weights_, random);
    if (candidates.size() == 1) {
        return first;
    }
    weights_[first] = 0.0;
    const std::size_t second = drawWeighted(weights_, random);
    return score(*candidates[second], view, now) < score(*candidates[first], view, now) ? second : first;
}

double TwoChoicesStrategy::score(const Candidate &candidate, const LoadView &view, TimePoint /*now*/) const
{
    const UpstreamLoad *load = view.find(candidate.upstream);
    return load == nullptr ? 0.0 : load->inFlight / candidate.weight;
}

}

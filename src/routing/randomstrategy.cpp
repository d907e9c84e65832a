#include "routing/randomstrategy.h"

#include "routing/weighteddraw.h"

namespace Egretpath
{

std::size_t RandomStrategy::choose(CandidateSpan candidates, const LoadView & /*view*/, Random &random,
                                   TimePoint /*now*/)
{
    weights_.clear();
    for (const Candidate *candidate : candidates) {
        weights_.push_back(candidate->weight);
    }
    return drawWeighted(weights_, random);
}

}

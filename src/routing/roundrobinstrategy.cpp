#include "routing/roundrobinstrategy.h"

namespace Egretpath
{

std::size_t RoundRobinStrategy::choose(CandidateSpan candidates, const LoadView & /*view*/, Random & /*random*/,
                                       TimePoint /*now*/)
{
    double total = 0.0;
    std::size_t chosen = 0;
    double *most = &arrears_[candidates.front()->upstream];
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        double &arrears = arrears_[candidates[index]->upstream];
        arrears += candidates[index]->weight;
        total += candidates[index]->weight;
        if (arrears > *most) {
            most = &arrears;
            chosen = index;
        }
    }
    *most -= total;
    return chosen;
}

double RoundRobinStrategy::score(const Candidate &candidate, const LoadView & /*view*/, TimePoint /*now*/) const
{
    const auto place = arrears_.find(candidate.upstream);
    return place == arrears_.end() ? 0.0 : -place->second;
}

}

#include "routing/leastinflightstrategy.h"

namespace Egretpath
{

std::size_t LeastInFlightStrategy::choose(CandidateSpan candidates, const LoadView &view, Random &random, TimePoint now)
{
    double best = 0.0;
    least_.clear();
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const double load = score(*candidates[index], view, now);
        if (least_.empty() || load < best) {
            least_.clear();
            best = load;
        }
        if (load <= best) {
            least_.push_back(index);
        }
    }
    return least_[random() % least_.size()];
}

double LeastInFlightStrategy::score(const Candidate &candidate, const LoadView &view, TimePoint /*now*/) const
{
    const UpstreamLoad *load = view.find(candidate.upstream);
    return load == nullptr ? 0.0 : load->inFlight / candidate.weight;
}

}

#include "routing/hotcoldstrategy.h"

#include <algorithm>

#include "routing/weighteddraw.h"

namespace Egretpath
{

namespace
{

constexpr std::size_t PoolSize = 16;
/// The hot/cold border that the paper's authors run with.
constexpr double HotQuantile = 0.84;

double reportedInFlight(const UpstreamLoad *load)
{
    if (load == nullptr) {
        return 0.0;
    }
    if (!load->hasReport) {
        return load->inFlight;
    }
    // Own calls sent since the report count on top, as the paper compensates for reusing a probe.
    const double sentSince = static_cast<double>(load->inFlight) - load->inFlightAtReport;
    return std::max(0.0, load->report.inFlight + load->report.queued + sentSince);
}

double reportedLatency(const UpstreamLoad *load)
{
    return load == nullptr || !load->hasReport ? 0.0 : load->report.serviceTimeMicroseconds;
}

}

std::size_t HotColdStrategy::choose(CandidateSpan candidates, const LoadView &view, Random &random, TimePoint now)
{
    weights_.clear();
    for (const Candidate *candidate : candidates) {
        weights_.push_back(candidate->weight);
    }
    pool_.clear();
    inFlights_.clear();
    while (pool_.size() < std::min(PoolSize, candidates.size())) {
        pool_.push_back(drawWeighted(weights_, random));
        weights_[pool_.back()] = 0.0;
        inFlights_.push_back(score(*candidates[pool_.back()], view, now));
    }
    std::vector<double> sorted = inFlights_;
    const auto border =
        sorted.begin() + static_cast<std::ptrdiff_t>(HotQuantile * static_cast<double>(sorted.size() - 1));
    std::nth_element(sorted.begin(), border, sorted.end());

    std::size_t chosen = 0;
    for (std::size_t place = 1; place < pool_.size(); ++place) {
        const bool hot = inFlights_[place] > *border;
        const bool chosenHot = inFlights_[chosen] > *border;
        const double latency = reportedLatency(view.find(candidates[pool_[place]]->upstream));
        const double chosenLatency = reportedLatency(view.find(candidates[pool_[chosen]]->upstream));
        const bool better = hot != chosenHot ? chosenHot
            : hot                            ? inFlights_[place] < inFlights_[chosen]
                                             : latency < chosenLatency;
        if (better) {
            chosen = place;
        }
    }
    return pool_[chosen];
}

double HotColdStrategy::score(const Candidate &candidate, const LoadView &view, TimePoint /*now*/) const
{
    return reportedInFlight(view.find(candidate.upstream));
}

}

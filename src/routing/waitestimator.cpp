#include "routing/waitestimator.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

/// One for something just seen, falling to 1/e at @p memory.
double freshness(TimePoint seen, double memoryMicroseconds, TimePoint now)
{
    return std::exp(-std::max(0.0, microseconds(now - seen)) / memoryMicroseconds);
}

double mix(double share, double fresh, double fallback)
{
    return share * fresh + (1.0 - share) * fallback;
}

}

WaitEstimator::WaitEstimator(WaitEstimatorSettings settings)
    : settings_(settings)
{
}

double WaitEstimator::typicalMicroseconds(const LoadView &view) const
{
    const double seen = view.typicalLatencyMicroseconds();
    return seen > 0.0 ? seen : settings_.defaultServiceMicroseconds;
}

double WaitEstimator::serviceMicroseconds(const UpstreamLoad *load, const LoadView &view, TimePoint now) const
{
    const double typical = view.typicalLatencyMicroseconds() > 0 ? view.typicalLatencyMicroseconds()
                                                                 : settings_.defaultServiceMicroseconds;
    if (load == nullptr) {
        return typical;
    }
    double service = typical;
    if (load->hasLatency) {
        service = mix(freshness(load->latencyTime, microseconds(settings_.latencyMemory), now),
                      load->latencyMicroseconds, typical);
    }
    if (load->hasReport) {
        // A report may raise what was seen here, never lower it: a report that claims to be quick while
        // answers come back late is a lie or out of date.
        const double fresh = freshness(load->reportTime, microseconds(settings_.latencyMemory), now);
        service = std::max(service, mix(fresh, load->report.serviceTimeMicroseconds, service));
    }
    if (load->inFlight > 0) {
        // Guards against an upstream that stalls: it sends neither answers nor reports, so that all that was
        // learned of it still looks good. No call ended in this time, so the next will hardly take less.
        service = std::max(service, microseconds(now - load->progressTime));
    }
    return service < settings_.noiseFactor * typical ? typical : service;
}

double WaitEstimator::occupancy(const Candidate &candidate, const UpstreamLoad *load, const LoadView &view,
                                TimePoint now) const
{
    const bool hasSlots = load != nullptr && load->hasReport && load->report.slots > 0;
    const double slots = hasSlots ? load->report.slots : std::max(candidate.inFlightCap, 1U);
    const double own = load == nullptr ? 0.0 : load->inFlight;
    const double typicalOthers = view.typicalOccupancy() * slots;
    if (load == nullptr || !load->hasReport) {
        return (own + typicalOthers) / slots;
    }
    const double reported = static_cast<double>(load->report.inFlight) + load->report.queued;
    const double others = std::max(0.0, reported - load->inFlightAtReport);
    const double memory = settings_.reportMemory * typicalMicroseconds(view);
    return (own + mix(freshness(load->reportTime, memory, now), others, typicalOthers)) / slots;
}

double WaitEstimator::expectedMicroseconds(const Candidate &candidate, const LoadView &view, TimePoint now) const
{
    const UpstreamLoad *load = view.find(candidate.upstream);
    const double service = serviceMicroseconds(load, view, now);
    const double occupied = occupancy(candidate, load, view, now);
    const double slots = std::max(candidate.inFlightCap, 1U);
    const double queueAhead = std::max(0.0, occupied - 1.0 + 1.0 / slots);
    const double failures = load == nullptr ? 0.0 : view.failureEvidence(*load, now);
    const double serviceTimes =
        1.0 + queueAhead + settings_.occupancyPenalty * occupied * occupied + settings_.failurePenalty * failures;
    return service * serviceTimes;
}

}

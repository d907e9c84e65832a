#pragma once

#include "routing/candidate.h"
#include "routing/loadview.h"

namespace Egretpath
{

/// Constants of WaitEstimator.
struct WaitEstimatorSettings
{
    /// Age, in typical latencies, at which a report's occupancy counts 1/e against the typical one. The calls that it
    /// counted have mostly ended after one service time.
    double reportMemory = 0.5;
    /// Age at which a latency or service time counts 1/e against the typical latency.
    Duration latencyMemory = std::chrono::seconds{5};
    /// A service time below this many times the typical one counts as typical: a few answers of a skewed
    /// distribution differ that much by chance, and must not outweigh calls in flight.
    double noiseFactor = 3.0;
    /// Latency assumed before anything was seen or reported.
    double defaultServiceMicroseconds = 2000.0;
    /// Service times added for each recent failure; this is what keeps quick errors from attracting calls.
    double failurePenalty = 20.0;
    /// Service times added when occupancy is one; it grows with the square of the occupancy.
    double occupancyPenalty = 1.0;
};

/// Predicts how long a call sent now would take at an upstream, from a LoadView.
///
/// Thread safety: safe; it has no state besides its constants. Errors: none.
class WaitEstimator
{
public:
    explicit WaitEstimator(WaitEstimatorSettings settings = {});

    /// Expected time to the answer, in microseconds, failures included as a penalty.
    [[nodiscard]] double expectedMicroseconds(const Candidate &candidate, const LoadView &view, TimePoint now) const;

    /// Expected service time without waiting for a slot, in microseconds.
    [[nodiscard]] double serviceMicroseconds(const UpstreamLoad *load, const LoadView &view, TimePoint now) const;

    /// Expected (in flight + queued) / slots, own calls included.
    [[nodiscard]] double occupancy(const Candidate &candidate, const UpstreamLoad *load, const LoadView &view,
                                   TimePoint now) const;

private:
    [[nodiscard]] double typicalMicroseconds(const LoadView &view) const;

    WaitEstimatorSettings settings_;
};

}

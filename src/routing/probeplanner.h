#pragma once

#include <span>
#include <vector>

#include "core/random.h"
#include "routing/candidate.h"
#include "routing/loadview.h"
#include "routing/probebudget.h"
#include "routing/waitestimator.h"

namespace Egretpath
{

/// Constants of ProbePlanner.
struct ProbePlannerSettings
{
    /// A report older than this no longer decides.
    Duration staleAfter = Milliseconds{250};
    /// An upstream that looks slow is looked at again after this time without a call.
    Duration suspectAfter = std::chrono::seconds{2};
    /// An upstream is suspected when it is predicted to take this many times the best one's time.
    double suspectFactor = 3.0;
    /// Bytes of a probe and its answer on the wire, headers included.
    Bytes probeSize{150};
};

/// Picks the upstreams that are worth a probe.
///
/// A probe is worth its bytes only if it can change a decision: for a candidate among the best two whose report is
/// stale, or for one that looks slow and therefore gets no calls that would show its recovery.
///
/// Thread safety: none. Errors: none. The references given must outlive the planner.
class ProbePlanner
{
public:
    ProbePlanner(Location own, const LoadView &view, ProbeBudget &budget, ProbePlannerSettings settings = {},
                 WaitEstimatorSettings estimatorSettings = {});

    /// Indices in @p candidates that are to be probed now; the budget has been charged for them. Call it from a
    /// timer (some times a second) for each service with recent calls. Tell LoadView::onProbeSent() for each.
    [[nodiscard]] std::vector<std::size_t> plan(std::span<const Candidate> candidates, TimePoint now);

private:
    struct Ranked
    {
        std::size_t candidate = 0;
        double expectedMicroseconds = 0.0;
    };

    [[nodiscard]] std::vector<Ranked> rank(std::span<const Candidate> candidates, TimePoint now) const;
    [[nodiscard]] bool isWorthProbe(const Candidate &candidate, bool amongBest, bool suspected, TimePoint now) const;

    Location own_;
    const LoadView &view_;
    ProbeBudget &budget_;
    ProbePlannerSettings settings_;
    WaitEstimator estimator_;
};

}

#pragma once

#include "routing/routingstrategy.h"
#include "routing/waitestimator.h"

namespace Egretpath
{

/// Constants of EgretpathStrategy.
struct EgretpathSettings
{
    /// Candidates drawn by weight, of which the one with the lowest predicted time is taken.
    std::size_t choices = 6;
    /// Time in which the weight of a new incarnation rises to its full value.
    Duration warmUp = std::chrono::seconds{5};
    /// Share of its weight that a new incarnation gets at first.
    double warmUpFloor = 0.1;
    WaitEstimatorSettings estimator;
};

/// Draws several candidates by weight and takes the one with the lowest predicted time to the answer.
///
/// The prediction ages what was reported and puts what was seen here first (see WaitEstimator). A new incarnation is
/// drawn rarely at first, so that its caches fill before it gets its full share. Thread safety: none.
class EgretpathStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "egretpath";

    explicit EgretpathStrategy(EgretpathSettings settings = {});

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

    [[nodiscard]] double score(const Candidate &candidate, const LoadView &view, TimePoint now) const override;

private:
    [[nodiscard]] double drawWeight(const Candidate &candidate, const LoadView &view, TimePoint now) const;

    EgretpathSettings settings_;
    WaitEstimator estimator_;
    std::vector<double> weights_;
};

}

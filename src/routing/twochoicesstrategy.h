#pragma once

#include "routing/routingstrategy.h"

namespace Egretpath
{

/// Draws two candidates by weight and takes the one with fewer own calls in flight for its weight.
/// M. Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", IEEE TPDS 12(10), 2001.
/// Thread safety: none.
class TwoChoicesStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "two-choices";

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

    [[nodiscard]] double score(const Candidate &candidate, const LoadView &view, TimePoint now) const override;

private:
    std::vector<double> weights_;
};

}

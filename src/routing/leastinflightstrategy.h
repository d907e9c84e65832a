#pragma once

#include "routing/routingstrategy.h"

namespace Egretpath
{

/// Takes the candidate with the fewest own calls in flight for its weight; equal ones at random (least connections).
/// Thread safety: none.
class LeastInFlightStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "least-in-flight";

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

    [[nodiscard]] double score(const Candidate &candidate, const LoadView &view, TimePoint now) const override;

private:
    std::vector<std::size_t> least_;
};

}

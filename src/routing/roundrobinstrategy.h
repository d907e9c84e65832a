#pragma once

#include "routing/routingstrategy.h"

namespace Egretpath
{

/// Takes the candidates in turn, in proportion to their weights and evenly interleaved (smooth weighted round robin).
/// Thread safety: none.
class RoundRobinStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "round-robin";

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

    [[nodiscard]] double score(const Candidate &candidate, const LoadView &view, TimePoint now) const override;

private:
    /// How far each upstream is behind its share; upstreams that left the table stay until the strategy goes.
    std::unordered_map<UpstreamName, double> arrears_;
};

}

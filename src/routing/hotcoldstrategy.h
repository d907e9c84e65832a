#pragma once

#include "routing/routingstrategy.h"

namespace Egretpath
{

/// Calls a candidate hot when its reported in-flight count is above a quantile of all reported ones; takes the cold one
/// with the lowest latency, or the least loaded one if all are hot.
/// After B. Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024; here its probes
/// are the reports that ride on answers. Thread safety: none.
class HotColdStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "hot-cold";

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

    [[nodiscard]] double score(const Candidate &candidate, const LoadView &view, TimePoint now) const override;

private:
    std::vector<double> weights_;
    std::vector<std::size_t> pool_;
    std::vector<double> inFlights_;
};

}

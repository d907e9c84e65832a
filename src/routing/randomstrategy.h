#pragma once

#include "routing/routingstrategy.h"

namespace Egretpath
{

/// Draws by weight alone. Thread safety: none.
class RandomStrategy : public RoutingStrategy
{
public:
    static constexpr std::string_view Name = "random";

    [[nodiscard]] std::string_view name() const override { return Name; }

    [[nodiscard]] std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                     TimePoint now) override;

private:
    std::vector<double> weights_;
};

}

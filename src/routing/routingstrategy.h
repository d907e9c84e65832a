#pragma once

#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <boost/outcome/result.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "routing/candidate.h"
#include "routing/loadview.h"

namespace Egretpath
{

/// Candidates of one call that are alike in distance; never empty, weights above zero.
using CandidateSpan = std::span<const Candidate *const>;

/// A rule that picks one of several candidates.
///
/// Thread safety: none; a strategy may keep state between calls.
class RoutingStrategy
{
public:
    virtual ~RoutingStrategy() = default;

    /// The name in settings and pages, as makeStrategy() takes it.
    [[nodiscard]] virtual std::string_view name() const = 0;

    /// Index of the chosen candidate. Precondition: @p candidates is not empty, each weight is above zero.
    /// Errors: none.
    [[nodiscard]] virtual std::size_t choose(CandidateSpan candidates, const LoadView &view, Random &random,
                                             TimePoint now) = 0;

    /// What the rule compares, lower is better; for the log line of the decision. Zero for rules that
    /// compare nothing.
    [[nodiscard]] virtual double score(const Candidate &candidate, const LoadView &view, TimePoint now) const;
};

/// A strategy was asked for by a name that none has.
struct UnknownStrategy
{
    std::string name;
    std::vector<std::string_view> allowed;
};

using StrategyResult =
    boost::outcome_v2::result<std::unique_ptr<RoutingStrategy>, UnknownStrategy, boost::outcome_v2::policy::all_narrow>;

/// The names that makeStrategy() takes. Thread safety: safe.
[[nodiscard]] std::vector<std::string_view> strategyNames();

/// A new strategy by its name. Thread safety: safe. Errors: UnknownStrategy.
[[nodiscard]] StrategyResult makeStrategy(std::string_view name);

}

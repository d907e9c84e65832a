#pragma once

#include <cstdint>
#include <string_view>

#include "core/clock.h"
#include "core/verdict.h"
#include "routing/retrybudget.h"

namespace Egretpath
{

/// A try that failed, and what another one could rely on.
struct RetryRequest
{
    ServiceName service;
    Verdict verdict = Verdict::MayHaveRun;
    Reason reason = Reason::None;
    /// Tries that ended, this one included; at least one.
    unsigned triesDone = 1;
    /// Tries that the table allows for a call that may have run; one for calls that must not repeat.
    unsigned triesCap = 1;
    /// Time left to the call's deadline.
    Duration deadlineLeft{0};
    /// Time that another try is expected to need.
    Duration expectedServiceTime{0};
    /// Another try would cross to another region.
    bool overPaidLink = false;
    /// The table allows retries over paid links.
    bool paidLinkAllowed = false;
};

/// What becomes of a failed try.
enum class RetryDecision : std::uint8_t {
    Retry,
    /// The call may have run and must not repeat, or the failure would only come again.
    Forbidden,
    TriesUsed,
    DeadlineTooNear,
    PaidLink,
    BudgetSpent,
};

/// The stable word for @p decision in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(RetryDecision decision);

/// Decides whether a failed try is followed by another.
///
/// Thread safety: none. Errors: none. @p budget must outlive the policy.
class RetryPolicy
{
public:
    /// Tries of a call whose failed tries all provably did not run, whatever the table's cap says.
    static constexpr unsigned NotRunTriesCap = 3;

    explicit RetryPolicy(RetryBudget &budget);

    /// Decides, and spends a token of the budget if and only if the answer is Retry.
    [[nodiscard]] RetryDecision decide(const RetryRequest &request);

private:
    RetryBudget &budget_;
};

}

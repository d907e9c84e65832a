#include "routing/retrypolicy.h"

#include <algorithm>
#include <array>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, 6> DecisionWords{
    "retry", "forbidden", "tries-used", "deadline-too-near", "paid-link", "budget-spent",
};

/// Another upstream could do no better with such a call.
bool comesAgain(Reason reason)
{
    switch (reason) {
    case Reason::BadRequest:
    case Reason::BadKey:
    case Reason::KeyOutOfMemory:
    case Reason::KeyInUse:
    case Reason::AnswerNotHeld:
    case Reason::TooLarge:
    case Reason::NoTable:
    case Reason::Cancelled:
    case Reason::DeadlinePassed:
    case Reason::BudgetSpent:
        return true;
    default:
        return false;
    }
}

}

std::string_view toString(RetryDecision decision)
{
    return DecisionWords.at(static_cast<std::size_t>(decision));
}

RetryPolicy::RetryPolicy(RetryBudget &budget)
    : budget_(budget)
{
}

RetryDecision RetryPolicy::decide(const RetryRequest &request)
{
    const bool provenNotRun = request.verdict == Verdict::NotRun;
    if (request.verdict == Verdict::Answered || comesAgain(request.reason)) {
        return RetryDecision::Forbidden;
    }
    // A call that must not repeat has a cap of one: after a try that may have run it never leaves again.
    if (!provenNotRun && request.triesCap <= 1) {
        return RetryDecision::Forbidden;
    }
    const unsigned cap = provenNotRun ? std::max(request.triesCap, NotRunTriesCap) : request.triesCap;
    if (request.triesDone >= cap) {
        return RetryDecision::TriesUsed;
    }
    if (request.deadlineLeft <= request.expectedServiceTime) {
        return RetryDecision::DeadlineTooNear;
    }
    if (request.overPaidLink && !request.paidLinkAllowed) {
        return RetryDecision::PaidLink;
    }
    return budget_.spend(request.service) ? RetryDecision::Retry : RetryDecision::BudgetSpent;
}

}

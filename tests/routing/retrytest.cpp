#include "routing/retrypolicy.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const ServiceName Service{"arrangements"};

RetryRequest refusedOnce()
{
    RetryRequest request;
    request.service = Service;
    request.verdict = Verdict::NotRun;
    request.reason = Reason::Overloaded;
    request.deadlineLeft = Milliseconds{100};
    request.expectedServiceTime = Milliseconds{5};
    return request;
}

struct Fixture
{
    RetryBudget budget;
    RetryPolicy policy{budget};

    Fixture() { budget.onFirstTry(Service); }
};

}

TEST_CASE_METHOD(Fixture, "a call that provably did not run is tried again, up to a cap")
{
    RetryRequest request = refusedOnce();
    CHECK(policy.decide(request) == RetryDecision::Retry);
    request.triesDone = RetryPolicy::NotRunTriesCap;
    CHECK(policy.decide(request) == RetryDecision::TriesUsed);
}

TEST_CASE_METHOD(Fixture, "a payment that may have run never leaves again")
{
    // The connection breaks after a payment arrangement was handed over. Sent again, it charges the family twice.
    RetryRequest request = refusedOnce();
    request.verdict = Verdict::MayHaveRun;
    request.reason = Reason::ConnectionLost;
    CHECK(policy.decide(request) == RetryDecision::Forbidden);
    request.triesCap = 2;
    CHECK(policy.decide(request) == RetryDecision::Retry);
    request.triesDone = 2;
    CHECK(policy.decide(request) == RetryDecision::TriesUsed);
}

TEST_CASE_METHOD(Fixture, "no retry that could not end in time, crosses a paid link unasked or would fail again")
{
    RetryRequest request = refusedOnce();
    request.deadlineLeft = Milliseconds{4};
    CHECK(policy.decide(request) == RetryDecision::DeadlineTooNear);
    request = refusedOnce();
    request.overPaidLink = true;
    CHECK(policy.decide(request) == RetryDecision::PaidLink);
    request.paidLinkAllowed = true;
    CHECK(policy.decide(request) == RetryDecision::Retry);
    request.reason = Reason::KeyInUse;
    CHECK(policy.decide(request) == RetryDecision::Forbidden);
    request.verdict = Verdict::Answered;
    CHECK(policy.decide(request) == RetryDecision::Forbidden);
}

TEST_CASE_METHOD(Fixture, "a storm of failures adds a tenth to the load at most")
{
    // An upstream's switch fails and every call is refused. Without a budget each call is tried three times, and the
    // upstreams that are left fall over as well.
    constexpr int Calls = 10000;
    int retries = 0;
    for (int call = 0; call < Calls; ++call) {
        budget.onFirstTry(Service);
        retries += policy.decide(refusedOnce()) == RetryDecision::Retry ? 1 : 0;
    }
    constexpr int Share = Calls / 10;
    CHECK(retries <= Share + static_cast<int>(RetryBudgetSettings{}.serviceBurst));
    CHECK(retries >= Share - 1);
    CHECK(policy.decide(refusedOnce()) == RetryDecision::BudgetSpent);
}

TEST_CASE("one service's failures leave the others a part of the node's budget")
{
    RetryBudget budget;
    const ServiceName other{"statements"};
    budget.onFirstTry(Service);
    budget.onFirstTry(other);
    while (budget.spend(Service)) {
    }
    CHECK_FALSE(budget.canSpend(Service));
    CHECK(budget.canSpend(other));
    CHECK_FALSE(budget.spend(ServiceName{"never-called"}));
}

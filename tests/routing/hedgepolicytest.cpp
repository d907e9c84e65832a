#include "routing/hedgepolicy.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const ServiceName Service{"statements"};

HedgeRequest lookup()
{
    return {Service, true, true, Milliseconds{500}, false};
}

}

TEST_CASE("a hedge waits for a high quantile of the latencies seen")
{
    HedgePolicy policy;
    CHECK_FALSE(policy.delay().has_value());
    for (int call = 0; call < 20000; ++call) {
        policy.onAnswered(Milliseconds{1 + call % 100});
    }
    CHECK(*policy.delay() > Milliseconds{85});
    CHECK(*policy.delay() < Milliseconds{105});
}

TEST_CASE("only repeatable calls with a cancellable loser are hedged, within the retry budget")
{
    HedgePolicy policy;
    RetryBudget budget;
    budget.onFirstTry(Service);
    CHECK_FALSE(policy.mayHedge(lookup(), budget));
    for (int call = 0; call < 1000; ++call) {
        policy.onAnswered(Milliseconds{5});
    }
    HedgeRequest request = lookup();
    request.repeatable = false;
    CHECK_FALSE(policy.mayHedge(request, budget));
    request = lookup();
    request.cancellable = false;
    CHECK_FALSE(policy.mayHedge(request, budget));
    request = lookup();
    request.overPaidLink = true;
    CHECK_FALSE(policy.mayHedge(request, budget));
    request = lookup();
    request.deadlineLeft = Milliseconds{1};
    CHECK_FALSE(policy.mayHedge(request, budget));
    int hedges = 0;
    while (policy.mayHedge(lookup(), budget)) {
        ++hedges;
    }
    CHECK(hedges == static_cast<int>(RetryBudgetSettings{}.serviceBurst));
}

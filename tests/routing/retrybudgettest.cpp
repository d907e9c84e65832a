#include "routing/retrybudget.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const ServiceName Service{"arrangements"};

}

// Guards against a retry storm. A network switch fails and every call to its upstreams is refused. Without a budget,
// each call is tried three times, and the remaining upstreams are overloaded too.
TEST_CASE("retries add at most a tenth to the load when all calls fail")
{
    RetryBudget budget;
    constexpr int Calls = 10000;
    int retries = 0;
    for (int call = 0; call < Calls; ++call) {
        budget.onFirstTry(Service);
        retries += budget.spend(Service) ? 1 : 0;
    }
    constexpr int Share = Calls / 10;
    CHECK(retries <= Share + static_cast<int>(RetryBudgetSettings{}.serviceBurst));
    CHECK(retries >= Share - 1);
    CHECK_FALSE(budget.canSpend(Service));
}

TEST_CASE("the failures of one service leave a part of the node's budget to the others")
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

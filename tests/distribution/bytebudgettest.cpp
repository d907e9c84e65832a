#include "distribution/bytebudget.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("a budget grants its burst, then its rate, and counts")
{
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    ByteBudget budget(Bytes(100), Bytes(250), start);
    CHECK(budget.tryTake(Bytes(250), start));
    CHECK_FALSE(budget.tryTake(Bytes(1), start));
    CHECK(budget.available(start + std::chrono::seconds(1)) == Bytes(100));
    CHECK(budget.available(start + std::chrono::minutes(1)) == Bytes(250));
    CHECK(budget.spent() == Bytes(250));
    CHECK(budget.refusals() == 1);
}

TEST_CASE("what must go is paid back before anything else is granted")
{
    const TimePoint start = TimePoint{} + std::chrono::hours(1);
    ByteBudget budget(Bytes(100), Bytes(100), start);
    budget.take(Bytes(300), start);
    CHECK_FALSE(budget.tryTake(Bytes(1), start + std::chrono::seconds(2)));
    CHECK(budget.tryTake(Bytes(50), start + std::chrono::milliseconds(2'500)));
}

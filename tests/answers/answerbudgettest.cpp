#include "answers/answerbudget.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

constexpr Bytes Limit{4UL * 1024 * 1024};
const TimePoint Start{std::chrono::seconds(100)};

/// Reads for an answer until the budget stops it. Returns the bytes that are then held for it.
Bytes fill(AnswerBudget &budget)
{
    Bytes own{0};
    while (budget.mayHoldMore(own)) {
        budget.hold(AnswerBudget::MaxPiece);
        own = Bytes(own.value() + AnswerBudget::MaxPiece.value());
    }
    return own;
}

}

// Guards against one reader that stops for good and takes the memory of all others.
TEST_CASE("readers that stop leave room for the others, and all together stay within the limit")
{
    AnswerBudget budget(Limit);
    const Bytes first = fill(budget);
    CHECK(first.value() >= Limit.value() / 2 - AnswerBudget::MaxPiece.value());
    CHECK(first.value() <= Limit.value() / 2);
    CHECK(budget.mayHoldMore(Bytes(0)));
    CHECK_FALSE(budget.refusal(Start));
    for (int reader = 0; reader < 50; ++reader) {
        fill(budget);
    }
    CHECK(budget.held() <= Limit);
    CHECK(budget.isUsedUp());
}

// Guards against a node that takes downloads until its memory is used up, and against a delay in which nothing drains.
TEST_CASE("over nine tenths new downloads are refused until a tenth has drained at the rate seen")
{
    constexpr Bytes Released{1024UL * 1024};
    AnswerBudget budget(Limit);
    budget.hold(Limit);
    budget.hold(Released);
    CHECK(budget.refusal(Start) == Milliseconds(2000));
    budget.release(Released, Start);
    // A tenth of 4 MiB at 1 MiB a second.
    CHECK(budget.refusal(Start) == Milliseconds(400));
    CHECK(budget.refusal(Start + Milliseconds(1000)) > Milliseconds(1000));
    CHECK(budget.isUsedUp());
    budget.release(Bytes(Limit.value() / 10 + 1), Start);
    CHECK_FALSE(budget.refusal(Start));
    CHECK_FALSE(budget.isUsedUp());
}

// Guards against a limit where the settings name no memory.
TEST_CASE("without a limit everything may be held")
{
    AnswerBudget budget(std::nullopt);
    budget.hold(Bytes(1UL << 40));
    CHECK(budget.mayHoldMore(budget.held()));
    CHECK_FALSE(budget.refusal(Start));
    CHECK_FALSE(budget.isUsedUp());
}

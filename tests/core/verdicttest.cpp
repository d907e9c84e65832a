#include "core/verdict.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("each verdict can be parsed from its word, and an unknown word is rejected")
{
    for (const Verdict verdict : {Verdict::Answered, Verdict::NotRun, Verdict::MayHaveRun}) {
        CHECK(verdictFromString(toString(verdict)) == verdict);
    }
    CHECK_FALSE(verdictFromString("maybe").has_value());
}

TEST_CASE("a reason is written as its word")
{
    CHECK(toString(Reason::TooLarge) == "too-large");
}

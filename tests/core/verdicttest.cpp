#include "core/verdict.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("each verdict has its own word and can be read back")
{
    for (const Verdict verdict : {Verdict::Answered, Verdict::NotRun, Verdict::MayHaveRun}) {
        CHECK(verdictFromString(toString(verdict)) == verdict);
    }
    CHECK_FALSE(verdictFromString("maybe").has_value());
}

TEST_CASE("the last reason has a word")
{
    CHECK(toString(Reason::TooLarge) == "too-large");
}

#include "quarantine/recentanswers.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("an answered request is known for 30 seconds, and one with another method or body is not")
{
    const TimePoint start{std::chrono::hours(1)};
    RecentAnswers answers(7);
    answers.record({"GET", "h", "/popular", ""}, start);
    CHECK(answers.contains({"GET", "h", "/popular", ""}, start + std::chrono::seconds(29)));
    CHECK_FALSE(answers.contains({"GET", "h", "/popular", ""}, start + std::chrono::seconds(30)));
    CHECK_FALSE(answers.contains({"GET", "h", "/popular", "body"}, start));
    CHECK_FALSE(answers.contains({"PUT", "h", "/popular", ""}, start));
}

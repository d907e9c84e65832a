#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("a digest stays the same when it is written as text and parsed")
{
    const Digest digest = digestOf("statements,northmere,,3");
    Digest parsed;
    REQUIRE(fromHex(toHex(digest), parsed));
    CHECK(parsed == digest);
}

TEST_CASE("invalid digest text is rejected and leaves the target unchanged")
{
    Digest parsed{1, 2};
    CHECK_FALSE(fromHex("0123", parsed));
    CHECK_FALSE(fromHex(std::string(31, '0') + "g", parsed));
    CHECK(parsed == Digest{1, 2});
}

TEST_CASE("the stable hash depends on the seed and is repeatable")
{
    CHECK(stableHash("a", 1) != stableHash("a", 2));
    CHECK(stableHash("a", 1) == stableHash("a", 1));
}

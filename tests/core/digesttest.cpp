#include "core/digest.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

TEST_CASE("a digest survives its text form")
{
    const Digest digest = digestOf("statements,northmere,,3");
    Digest read;
    REQUIRE(fromHex(toHex(digest), read));
    CHECK(read == digest);
}

TEST_CASE("text that is no digest leaves the target as it was")
{
    Digest read{1, 2};
    CHECK_FALSE(fromHex("0123", read));
    CHECK_FALSE(fromHex(std::string(31, '0') + "g", read));
    CHECK(read == Digest{1, 2});
}

TEST_CASE("a seed gives another stable hash")
{
    CHECK(stableHash("a", 1) != stableHash("a", 2));
    CHECK(stableHash("a", 1) == stableHash("a", 1));
}

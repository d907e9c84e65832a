#include "quarantine/requestfingerprint.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>

using namespace Egretpath;

TEST_CASE("attempts with the same method, host, path and body share a fingerprint")
{
    const std::string body(100'000, 'b');
    CHECK(fingerprintOf({"GET", "h", "/read/1?x=1", ""}) == fingerprintOf({"GET", "h", "/read/1?x=1", ""}));
    CHECK(fingerprintOf({"POST", "h", "/pay/1", body}) == fingerprintOf({"POST", "h", "/pay/1", body}));
}

// Guards against two requests that share a fingerprint because they differ only in where one field ends.
TEST_CASE("requests that differ in any field have different fingerprints")
{
    const std::set<RequestFingerprint> all{
        fingerprintOf({"GET", "h", "/read/1", ""}),  fingerprintOf({"PUT", "h", "/read/1", ""}),
        fingerprintOf({"GET", "h/", "read/1", ""}),  fingerprintOf({"GET", "h", "/read/", "1"}),
        fingerprintOf({"GET", "", "h/read/1", ""}),  fingerprintOf({"GE", "Th", "/read/1", ""}),
        fingerprintOf({"GET", "h", "/read/1?", ""}), fingerprintOf({"GET", "h", "/read/1", std::string(1, '\0')}),
    };
    CHECK(all.size() == 8);
}

#include "quarantine/quarantine.h"

#include <catch2/catch.hpp>

#include <string>

#include "quarantine/upstreamexits.h"

using namespace Egretpath;

namespace
{

const TimePoint Start{std::chrono::hours(1)};

RequestFingerprint request(int number)
{
    return fingerprintOf({"GET", "h", "/" + std::to_string(number), ""});
}

SuspectedRequest told(int number, std::uint64_t crash, Milliseconds age = Milliseconds(0))
{
    return {request(number), {{UpstreamCrashId(crash)}}, age};
}

}

TEST_CASE("one crash accuses nobody, the second one with the same request under way does")
{
    Quarantine quarantine;
    CHECK(quarantine.crashed({UpstreamCrashId(1)}, {request(1), request(2)}, Start).refused.empty());
    CHECK_FALSE(quarantine.rejection(request(1), Start));
    const CrashResult result = quarantine.crashed({UpstreamCrashId(2)}, {request(1), request(3)}, Start);
    REQUIRE(result.refused.size() == 1);
    CHECK(result.refused[0].fingerprint == request(1));
    CHECK(result.known.size() == 2);
    const auto rejection = quarantine.rejection(request(1), Start + std::chrono::hours(1));
    REQUIRE(rejection);
    CHECK(rejection->verdict == Verdict::NotRun);
    CHECK(rejection->reason == Reason::CrashesUpstreams);
    CHECK(rejection->retryAfter == std::chrono::hours(23));
    CHECK_FALSE(quarantine.rejection(request(2), Start));
    CHECK_FALSE(quarantine.rejection(request(3), Start));
}

// Guards against a request that is accused of a single crash since two nodes tell of it.
TEST_CASE("the same crash counts once, however often and by whomever it is told")
{
    Quarantine quarantine;
    (void)quarantine.crashed({UpstreamCrashId(1)}, {request(1)}, Start);
    (void)quarantine.crashed({UpstreamCrashId(1)}, {request(1)}, Start);
    CHECK(quarantine.take({told(1, 1), told(1, 1)}, Start).empty());
    CHECK(quarantine.take({told(1, 2)}, Start).size() == 1);
    CHECK(quarantine.take({told(1, 2), told(1, 3)}, Start).empty());
}

TEST_CASE("nodes that refuse the same requests have the same mark, in whichever order they learned of them")
{
    Quarantine one;
    Quarantine other;
    CHECK(one.digest() == QuarantineDigest());
    (void)one.take({told(1, 1), told(1, 2), told(2, 1), told(2, 3)}, Start);
    (void)other.take({told(2, 3), told(3, 9), told(1, 2), told(2, 1), told(1, 1)}, Start);
    CHECK(one.digest() == other.digest());
    CHECK(one.digest() != QuarantineDigest());
    one.expire(Start + std::chrono::hours(25));
    CHECK(one.digest() == QuarantineDigest());
    CHECK(one.refusesNone());
}

TEST_CASE("a node that knows less is told what is known more")
{
    Quarantine quarantine;
    (void)quarantine.take({told(1, 1), told(1, 2), told(2, 1)}, Start);
    const auto more = quarantine.moreThan({told(1, 2), told(2, 1), told(3, 1)}, Start + Milliseconds(5));
    REQUIRE(more.size() == 1);
    CHECK(more[0].fingerprint == request(1));
    CHECK(more[0].age == Milliseconds(5));
}

// Guards against names that are never forgotten, since each node hears of them again from one that forgot them later.
TEST_CASE("what has run out at its sender does not begin anew")
{
    Quarantine quarantine;
    (void)quarantine.take({told(1, 1, std::chrono::hours(24)), told(1, 2, std::chrono::hours(24))}, Start);
    CHECK(quarantine.refusesNone());
    (void)quarantine.take({told(1, 1, std::chrono::hours(23)), told(1, 2, std::chrono::hours(23))}, Start);
    CHECK(quarantine.rejection(request(1), Start)->retryAfter == std::chrono::hours(1));
}

// Guards against memory without a bound: someone sends thousands of requests that end upstreams.
TEST_CASE("there are never more names than may be, and the oldest are forgotten first")
{
    QuarantineSettings settings;
    settings.mostSuspected = 8;
    settings.mostRefused = 4;
    Quarantine quarantine(settings);
    for (int number = 0; number < 100; ++number) {
        const TimePoint now = Start + Milliseconds(number);
        (void)quarantine.take({told(number, 1), told(number, 2), told(1000 + number, 1)}, now);
        CHECK(quarantine.refusedCount() <= 4);
        CHECK(quarantine.suspectedCount() <= 8);
    }
    CHECK(quarantine.rejection(request(99), Start));
    CHECK(quarantine.rejection(request(96), Start));
    CHECK_FALSE(quarantine.rejection(request(95), Start));
}

TEST_CASE("operators may have a request run that is refused, and it is not accused again")
{
    Quarantine quarantine;
    (void)quarantine.take({told(1, 1), told(1, 2), told(2, 1), told(2, 2)}, Start);
    quarantine.setAllowed({request(1)});
    CHECK_FALSE(quarantine.rejection(request(1), Start));
    CHECK(quarantine.rejection(request(2), Start));
    CHECK(quarantine.take({told(1, 1), told(1, 2)}, Start).empty());
    CHECK(quarantine.crashed({UpstreamCrashId(3)}, {request(1)}, Start).known.empty());
    quarantine.setAllowed({});
    CHECK(quarantine.take({told(1, 1), told(1, 2)}, Start).size() == 1);
}

// Guards against proper requests that are refused since they were sent from one flapping upstream to the next.
TEST_CASE("ends of upstreams that flap count half")
{
    Quarantine quarantine;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        CHECK(quarantine.crashed({UpstreamCrashId(crash), true}, {request(1)}, Start).refused.empty());
    }
    CHECK(quarantine.crashed({UpstreamCrashId(4), true}, {request(1)}, Start).refused.size() == 1);
    CHECK(quarantine.crashed({UpstreamCrashId(5), true}, {request(2)}, Start).refused.empty());
    CHECK(quarantine.crashed({UpstreamCrashId(6)}, {request(2)}, Start).refused.empty());
    CHECK(quarantine.crashed({UpstreamCrashId(7), true}, {request(2)}, Start).refused.size() == 1);
}

TEST_CASE("an upstream flaps once two of its ends lately have no request to blame")
{
    Quarantine quarantine;
    UpstreamExits exits;
    const auto endsWith = [&](std::uint64_t crash, int held) {
        const bool flaps = exits.flaps(UpstreamCrashId(crash), quarantine, Start);
        exits.record(UpstreamCrashId(crash), {request(held)}, Start);
        return flaps;
    };
    CHECK_FALSE(endsWith(1, 1));
    CHECK_FALSE(endsWith(2, 2));
    // Told in two parts, it is one end.
    CHECK_FALSE(exits.flaps(UpstreamCrashId(2), quarantine, Start));
    CHECK(endsWith(3, 3));
    (void)quarantine.take({told(1, 1), told(1, 9), told(2, 2), told(2, 9)}, Start);
    CHECK_FALSE(endsWith(4, 4));
    CHECK_FALSE(exits.flaps(UpstreamCrashId(5), quarantine, Start + std::chrono::minutes(3)));
}

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

SuspectedRequest reported(int number, std::uint64_t crash, Milliseconds age = Milliseconds(0))
{
    return {request(number), {{UpstreamCrashId(crash)}}, age};
}

}

TEST_CASE("a request is refused after the second crash with it under way, not after the first")
{
    Quarantine quarantine;
    CHECK(quarantine.recordCrash({UpstreamCrashId(1)}, {request(1), request(2)}, Start).refused.empty());
    CHECK_FALSE(quarantine.rejection(request(1), Start));
    const CrashResult result = quarantine.recordCrash({UpstreamCrashId(2)}, {request(1), request(3)}, Start);
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

// Guards against a request that is refused after a single crash, because two nodes report that crash.
TEST_CASE("the same crash counts once, however often and by whichever node it is reported")
{
    Quarantine quarantine;
    (void)quarantine.recordCrash({UpstreamCrashId(1)}, {request(1)}, Start);
    (void)quarantine.recordCrash({UpstreamCrashId(1)}, {request(1)}, Start);
    CHECK(quarantine.merge({reported(1, 1), reported(1, 1)}, Start).empty());
    CHECK(quarantine.merge({reported(1, 2)}, Start).size() == 1);
    CHECK(quarantine.merge({reported(1, 2), reported(1, 3)}, Start).empty());
}

TEST_CASE("nodes that refuse the same requests have the same digest, in whichever order they learned of them")
{
    Quarantine one;
    Quarantine other;
    CHECK(one.digest() == QuarantineDigest());
    (void)one.merge({reported(1, 1), reported(1, 2), reported(2, 1), reported(2, 3)}, Start);
    (void)other.merge({reported(2, 3), reported(3, 9), reported(1, 2), reported(2, 1), reported(1, 1)}, Start);
    CHECK(one.digest() == other.digest());
    CHECK(one.digest() != QuarantineDigest());
    one.expire(Start + std::chrono::hours(25));
    CHECK(one.digest() == QuarantineDigest());
    CHECK(one.refusesNone());
}

TEST_CASE("a node that reports fewer crashes of a request than are known receives the known ones")
{
    Quarantine quarantine;
    (void)quarantine.merge({reported(1, 1), reported(1, 2), reported(2, 1)}, Start);
    const auto missing =
        quarantine.missingFrom({reported(1, 2), reported(2, 1), reported(3, 1)}, Start + Milliseconds(5));
    REQUIRE(missing.size() == 1);
    CHECK(missing[0].fingerprint == request(1));
    CHECK(missing[0].age == Milliseconds(5));
}

// Guards against requests that are never forgotten, because each node learns of them again from a node that forgets
// them later.
TEST_CASE("a refusal that has expired at its sender is not added")
{
    Quarantine quarantine;
    (void)quarantine.merge({reported(1, 1, std::chrono::hours(24)), reported(1, 2, std::chrono::hours(24))}, Start);
    CHECK(quarantine.refusesNone());
    (void)quarantine.merge({reported(1, 1, std::chrono::hours(23)), reported(1, 2, std::chrono::hours(23))}, Start);
    CHECK(quarantine.rejection(request(1), Start)->retryAfter == std::chrono::hours(1));
}

// Guards against unbounded memory when somebody sends thousands of requests that crash upstreams.
TEST_CASE("refused and suspected requests stay within their limits, and the oldest are forgotten first")
{
    QuarantineSettings settings;
    settings.maxSuspected = 8;
    settings.maxRefused = 4;
    Quarantine quarantine(settings);
    for (int number = 0; number < 100; ++number) {
        const TimePoint now = Start + Milliseconds(number);
        (void)quarantine.merge({reported(number, 1), reported(number, 2), reported(1000 + number, 1)}, now);
        CHECK(quarantine.refusedCount() <= 4);
        CHECK(quarantine.suspectedCount() <= 8);
    }
    CHECK(quarantine.rejection(request(99), Start));
    CHECK(quarantine.rejection(request(96), Start));
    CHECK_FALSE(quarantine.rejection(request(95), Start));
}

TEST_CASE("a request that operators allow is neither refused nor suspected again")
{
    Quarantine quarantine;
    (void)quarantine.merge({reported(1, 1), reported(1, 2), reported(2, 1), reported(2, 2)}, Start);
    quarantine.setAllowed({request(1)});
    CHECK_FALSE(quarantine.rejection(request(1), Start));
    CHECK(quarantine.rejection(request(2), Start));
    CHECK(quarantine.merge({reported(1, 1), reported(1, 2)}, Start).empty());
    CHECK(quarantine.recordCrash({UpstreamCrashId(3)}, {request(1)}, Start).known.empty());
    quarantine.setAllowed({});
    CHECK(quarantine.merge({reported(1, 1), reported(1, 2)}, Start).size() == 1);
}

// Guards against harmless requests that are refused because they were retried from one flapping upstream to the next.
TEST_CASE("crashes of upstreams that flap count half")
{
    Quarantine quarantine;
    for (std::uint64_t crash = 1; crash <= 3; ++crash) {
        CHECK(quarantine.recordCrash({UpstreamCrashId(crash), true}, {request(1)}, Start).refused.empty());
    }
    CHECK(quarantine.recordCrash({UpstreamCrashId(4), true}, {request(1)}, Start).refused.size() == 1);
    CHECK(quarantine.recordCrash({UpstreamCrashId(5), true}, {request(2)}, Start).refused.empty());
    CHECK(quarantine.recordCrash({UpstreamCrashId(6)}, {request(2)}, Start).refused.empty());
    CHECK(quarantine.recordCrash({UpstreamCrashId(7), true}, {request(2)}, Start).refused.size() == 1);
}

TEST_CASE("an upstream flaps once two of its recent exits had no refused request under way")
{
    Quarantine quarantine;
    UpstreamExits exits;
    const auto isFlappingAtExit = [&](std::uint64_t crash, int held) {
        const bool isFlapping = exits.isFlapping(UpstreamCrashId(crash), quarantine, Start);
        exits.record(UpstreamCrashId(crash), {request(held)}, Start);
        return isFlapping;
    };
    CHECK_FALSE(isFlappingAtExit(1, 1));
    CHECK_FALSE(isFlappingAtExit(2, 2));
    // Two records of one crash are one exit.
    CHECK_FALSE(exits.isFlapping(UpstreamCrashId(2), quarantine, Start));
    CHECK(isFlappingAtExit(3, 3));
    (void)quarantine.merge({reported(1, 1), reported(1, 9), reported(2, 2), reported(2, 9)}, Start);
    CHECK_FALSE(isFlappingAtExit(4, 4));
    CHECK_FALSE(exits.isFlapping(UpstreamCrashId(5), quarantine, Start + std::chrono::minutes(3)));
}

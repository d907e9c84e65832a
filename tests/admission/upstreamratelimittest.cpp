#include "admission/upstreamratelimit.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
/// A start of the process whose predecessor no longer counts.
const TimePoint EarlierStart = Start - std::chrono::minutes{1};

/// The number of requests that @p limit lets through in @p time, if one comes each millisecond.
int requestsIn(UpstreamRateLimit &limit, TimePoint start, Milliseconds time)
{
    int count = 0;
    for (Milliseconds passed{0}; passed < time; passed += Milliseconds{1}) {
        const TimePoint now = start + passed;
        if (limit.timeUntilNext(now) <= Duration{0} && limit.hasRoom(now)) {
            CHECK(limit.takeTurn(now) == now);
            limit.onHandOver(now);
            ++count;
        }
    }
    return count;
}

}

TEST_CASE("an upstream that names no limit may get any number of requests")
{
    UpstreamRateLimit limit(EarlierStart);
    CHECK(requestsIn(limit, Start, Milliseconds(100)) == 100);
    limit.setRate(RateGround::Named, RequestRate(1.0), Start);
    limit.setRate(RateGround::Named, std::nullopt, Start);
    CHECK(requestsIn(limit, Start, Milliseconds(100)) == 100);
}

TEST_CASE("a named limit is used up and not exceeded, also a fraction of a request a second")
{
    for (const double perSecond : {0.5, 2.1, 4.9, 100.0}) {
        UpstreamRateLimit limit(EarlierStart);
        limit.setRate(RateGround::Named, RequestRate(perSecond), Start);
        const int requests = requestsIn(limit, Start, Milliseconds(10'000));
        CHECK(requests >= static_cast<int>(perSecond * 10.0));
        CHECK(requests <= static_cast<int>(perSecond * 10.0) + 2);
    }
}

TEST_CASE("time without requests is not saved up for a burst")
{
    UpstreamRateLimit limit(EarlierStart);
    limit.setRate(RateGround::Named, RequestRate(2.0), Start);
    CHECK(requestsIn(limit, Start + std::chrono::seconds{60}, Milliseconds(100)) == 2);
}

// Guards against an upstream whose limit was raised and that waits for the requests of the lower one.
TEST_CASE("a raised limit counts at once")
{
    UpstreamRateLimit limit(EarlierStart);
    limit.setRate(RateGround::Named, RequestRate(0.3), Start);
    CHECK(requestsIn(limit, Start, Milliseconds(1000)) == 2);
    limit.setRate(RateGround::Named, RequestRate(50.0), Start + std::chrono::seconds{1});
    CHECK(requestsIn(limit, Start + std::chrono::seconds{1}, Milliseconds(1000)) >= 49);
}

// Guards against an upstream that gets no request any more, so that none of its answers can end the limit.
TEST_CASE("an upstream with a limit of zero gets a request now and then")
{
    UpstreamRateLimit limit(EarlierStart);
    limit.setRate(RateGround::Named, RequestRate(0.0), Start);
    const int requests = requestsIn(limit, Start, Milliseconds(20'000));
    CHECK(requests >= 2);
    CHECK(requests <= 7);
}

TEST_CASE("the lowest rate of several grounds holds")
{
    UpstreamRateLimit limit(EarlierStart);
    limit.setRate(RateGround::Named, RequestRate(5.0), Start);
    limit.setRate(RateGround::Cold, RequestRate(20.0), Start);
    const int both = requestsIn(limit, Start, Milliseconds(4000));
    CHECK(both >= 20);
    CHECK(both <= 22);
    const TimePoint later = Start + std::chrono::seconds{4};
    limit.setRate(RateGround::Named, std::nullopt, later);
    const int cold = requestsIn(limit, later, Milliseconds(4000));
    CHECK(cold >= 78);
    CHECK(cold <= 82);
    limit.setRate(RateGround::Cold, std::nullopt, later + std::chrono::seconds{4});
    CHECK(requestsIn(limit, later + std::chrono::seconds{4}, Milliseconds(100)) == 100);
}

// Guards against an upstream that becomes cold right after it got many requests, and gets its cold rate on top of them.
TEST_CASE("what a cold upstream got just before counts as part of its rate")
{
    constexpr int Before = 10;
    UpstreamRateLimit limit(EarlierStart);
    CHECK(requestsIn(limit, Start, Milliseconds(Before)) == Before);
    const TimePoint cold = Start + Milliseconds(Before);
    limit.setRate(RateGround::Cold, RequestRate(8.0), cold);
    const int inFirstSecond = requestsIn(limit, cold, Milliseconds(1000 - Before));
    CHECK(Before + inFirstSecond <= 8 + Before);
    CHECK(requestsIn(limit, cold + std::chrono::seconds{2}, Milliseconds(1000)) >= 8);
}

// Guards against requests that wait for a slot with their turns taken, and reach a cold upstream together.
TEST_CASE("requests that have their turns are not handed over together beyond the rate of a second")
{
    UpstreamRateLimit limit(EarlierStart);
    limit.setRate(RateGround::Cold, RequestRate(10.0), Start);
    TimePoint lastDue = Start;
    for (int number = 0; number < 40; ++number) {
        lastDue = limit.takeTurn(Start);
    }
    CHECK(lastDue >= Start + Milliseconds(3700));
    CHECK(lastDue <= Start + Milliseconds(4000));
    int handedOver = 0;
    while (limit.hasRoom(lastDue)) {
        limit.onHandOver(lastDue);
        ++handedOver;
    }
    CHECK(handedOver >= 10);
    CHECK(handedOver <= 13);
    CHECK(limit.hasRoom(lastDue + std::chrono::seconds{1}));
}

// Guards against a node that was killed and starts again: it has forgotten what the upstream got just before.
TEST_CASE(
    "a process that has just started hands over less to a cold upstream, as its predecessor may have used the rate")
{
    UpstreamRateLimit limit(Start);
    limit.setRate(RateGround::Cold, RequestRate(10.0), Start);
    const int inFirstSecond = requestsIn(limit, Start, Milliseconds(1000));
    CHECK(inFirstSecond >= 5);
    // Two processes together stay under 1.5 times the rate and 8 more, also if the first one used all it had at once.
    CHECK(10 + 3 + inFirstSecond <= 15 + 8);
    CHECK(requestsIn(limit, Start + std::chrono::seconds{2}, Milliseconds(1000)) >= 9);
}

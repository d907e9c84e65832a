#include "admission/turnqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include "admission/upstreamratelimit.h"

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
constexpr double Rate = 16.0;
constexpr Duration Interval = Microseconds{62'500};

TimePoint at(int milliseconds)
{
    return Start + Milliseconds(milliseconds);
}

/// Requests of one kind.
struct Kind
{
    double perSecond;
    std::uint8_t priority;
    Milliseconds work;
    Milliseconds target;
    Milliseconds deadline;
};

constexpr Kind Urgent{8.0, 0, Milliseconds(36), Milliseconds(100), Milliseconds(1000)};
constexpr Kind Dependent{55.0, 1, Milliseconds(22), Milliseconds(250), Milliseconds(250)};
constexpr Kind Bulk{5.0, 2, Milliseconds(72), Milliseconds(1200), Milliseconds(2000)};

TurnRequest requestOf(std::uint64_t call, const Kind &kind, TimePoint now)
{
    TurnRequest request;
    request.call = CallId(call);
    request.priority = kind.priority;
    request.isDependent = kind.target == kind.deadline;
    request.target = now + kind.target;
    request.deadline = now + kind.deadline;
    request.expectedTime = kind.work;
    return request;
}

/// Turns at an upstream with a limited rate.
struct Fixture
{
    explicit Fixture(TurnQueueSettings settings = {})
        : queue(settings)
    {
        limit.setRate(RateGround::Cold, RequestRate(Rate), Start);
        // The turns that may follow each other at once are taken.
        limit.takeTurn(Start);
        limit.takeTurn(Start);
    }

    [[nodiscard]] TurnSchedule schedule(TimePoint now) const
    {
        return {limit.timeUntilNext(now), limit.turnInterval()};
    }

    /// Offers a request as the egress does; returns whether it waits or has its turn.
    bool offer(const TurnRequest &request, TimePoint now)
    {
        if (queue.expectedWait(request, schedule(now), now) > queue.maxWait(request, now)) {
            return false;
        }
        queue.add(request, now);
        advance(now);
        return true;
    }

    /// Gives out the turns that are due.
    void advance(TimePoint now)
    {
        while (!queue.isEmpty() && limit.timeUntilNext(now) <= Duration{0}) {
            served.push_back(*queue.next(now));
            limit.takeTurn(now);
            turns.push_back(now);
            std::erase_if(turns, [now](TimePoint turn) { return turn <= now - std::chrono::seconds{1}; });
            mostInOneSecond = std::max(mostInOneSecond, turns.size());
        }
        refused = queue.removeHopeless(schedule(now), now);
    }

    UpstreamRateLimit limit{Start - std::chrono::minutes{1}};
    TurnQueue queue;
    std::vector<CallId> served;
    std::vector<CallId> refused;
    std::vector<TimePoint> turns;
    std::size_t mostInOneSecond = 0;
};

/// How many requests of each priority were asked for and served; in the last place, of all.
struct Tally
{
    std::array<double, 4> asked{};
    std::array<double, 4> served{};

    [[nodiscard]] double share(std::size_t priority) const { return served[priority] / asked[priority]; }
    [[nodiscard]] double shareOfAll() const { return served[3] / asked[3]; }
};

/// Plays a minute of @p kinds. Requests of a kind come with the same gap between them, give or take half of it.
Tally play(Fixture &fixture, const std::vector<Kind> &kinds, unsigned seed)
{
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> gap(0.5, 1.5);
    std::vector<double> nextArrival(kinds.size());
    std::vector<std::uint8_t> priorities;
    Tally tally;
    for (int now = 0; now < 60'000; ++now) {
        fixture.advance(at(now));
        for (std::size_t index = 0; index < kinds.size(); ++index) {
            while (nextArrival[index] <= now) {
                nextArrival[index] += gap(random) * 1000.0 / kinds[index].perSecond;
                const std::uint64_t call = priorities.size();
                priorities.push_back(kinds[index].priority);
                ++tally.asked.at(kinds[index].priority);
                ++tally.asked.back();
                fixture.offer(requestOf(call, kinds[index], at(now)), at(now));
            }
        }
    }
    tally.served.back() = static_cast<double>(fixture.served.size());
    for (const CallId call : fixture.served) {
        ++tally.served.at(priorities.at(call.value()));
    }
    return tally;
}

}

// Guards against urgent requests that find no turn at a cold upstream, since frequent dependent calls took them all.
// The other loads guard against a kind that is starved: one turn of eight is a quarter of the common share for a kind
// with up to half of all requests.
TEST_CASE("at a cold upstream urgent requests get their turns, and no other priority is starved")
{
    const std::vector<std::vector<Kind>> loads{
        {Urgent, Dependent, Bulk},
        {{60.0, 0, Milliseconds(36), Milliseconds(100), Milliseconds(1000)},
         {40.0, 1, Milliseconds(22), Milliseconds(250), Milliseconds(250)},
         Bulk},
        {{40.0, 0, Milliseconds(36), Milliseconds(400), Milliseconds(1000)}, Bulk},
        {Dependent, {60.0, 2, Milliseconds(72), Milliseconds(1200), Milliseconds(2000)}},
    };
    for (std::size_t index = 0; index < loads.size(); ++index) {
        for (const unsigned seed : {1U, 2U, 3U, 4U}) {
            Fixture fixture;
            const Tally tally = play(fixture, loads[index], seed);
            CHECK((index > 0 || tally.share(0) >= 0.9));
            for (const Kind &kind : loads[index]) {
                CHECK(tally.share(kind.priority) >= 0.25 * tally.shareOfAll());
            }
            // No turn is left unused while there are requests, and no second has more than the rate and the burst.
            CHECK(tally.served.back() >= 59 * Rate);
            CHECK(fixture.mostInOneSecond <= std::size_t(Rate) + 2);
        }
    }
    Fixture unordered({.ordersByPriority = false, .floorInterval = 8});
    CHECK(play(unordered, loads.front(), 1).share(0) < 0.5);
}

TEST_CASE("requests of one priority that aren't dependent get their turns in order of arrival")
{
    Fixture fixture;
    const Kind later{5.0, 2, Milliseconds(72), Milliseconds(4000), Milliseconds(5000)};
    const Kind sooner{5.0, 2, Milliseconds(72), Milliseconds(3000), Milliseconds(5000)};
    CHECK(fixture.offer(requestOf(1, later, Start), Start));
    CHECK(fixture.offer(requestOf(2, sooner, Start), Start));
    CHECK(fixture.queue.lastWait(fixture.schedule(Start)) == 3 * Interval);
    fixture.advance(at(63));
    CHECK(fixture.served == std::vector{CallId(1)});
}

// Guards against an urgent request that is refused because of less urgent ones that came before it.
TEST_CASE("only the requests that go before a request count in its expected wait, and those behind it may be refused")
{
    Fixture fixture;
    CHECK(fixture.offer(requestOf(1, Dependent, Start), Start));
    const TurnSchedule schedule = fixture.schedule(Start);
    CHECK(fixture.queue.urgentWait(schedule, Start) == Interval);
    CHECK(fixture.queue.expectedWait(requestOf(2, Urgent, Start), schedule, Start) == Interval);
    CHECK(fixture.queue.expectedWait(requestOf(3, Dependent, Start), schedule, Start) == 2 * Interval);
    CHECK_FALSE(fixture.offer(requestOf(3, Dependent, Start), Start));
    CHECK(fixture.offer(requestOf(2, Urgent, Start), Start));
    // The call would now get its turn after 125 ms, later than a third of its 250 ms.
    CHECK(fixture.refused == std::vector{CallId(1)});
    fixture.advance(at(63));
    CHECK(fixture.served == std::vector{CallId(2)});
    // A request that can still meet its target goes before a more urgent one that can't.
    TurnQueue queue;
    const Kind slow{55.0, 1, Milliseconds(300), Milliseconds(250), Milliseconds(250)};
    queue.add(requestOf(1, slow, Start), Start);
    queue.add(requestOf(2, Bulk, Start), Start);
    CHECK(queue.next(at(10)) == CallId(2));
}

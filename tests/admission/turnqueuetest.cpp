#include "admission/turnqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <random>
#include <vector>

#include "admission/upstreamratelimit.h"

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
const TimePoint EarlierStart = Start - std::chrono::minutes{1};
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

    /// Gives out the turns that are due and returns them.
    std::vector<CallId> advance(TimePoint now)
    {
        std::vector<CallId> given;
        while (!queue.isEmpty() && limit.timeUntilNext(now) <= Duration{0}) {
            given.push_back(*queue.next(now));
            limit.takeTurn(now);
            limit.onHandOver(now);
            turns.push_back(now);
            served.push_back(given.back());
        }
        for (const CallId call : queue.removeHopeless(schedule(now), now)) {
            refused.push_back(call);
        }
        return given;
    }

    /// Takes the turns that may follow each other at once.
    void useUp()
    {
        CHECK(offer(requestOf(1001, Bulk, Start), Start));
        CHECK(offer(requestOf(1002, Bulk, Start), Start));
        served.clear();
    }

    UpstreamRateLimit limit{EarlierStart};
    TurnQueue queue;
    std::vector<CallId> served;
    std::vector<CallId> refused;
    std::vector<TimePoint> turns;
};

/// How many requests of each priority were asked for and served.
struct Tally
{
    std::array<int, 3> asked{};
    std::array<int, 3> served{};

    [[nodiscard]] double share(std::size_t priority) const { return double(served[priority]) / asked[priority]; }
    [[nodiscard]] double shareOfAll() const
    {
        return double(served[0] + served[1] + served[2]) / (asked[0] + asked[1] + asked[2]);
    }
};

/// Plays a minute of @p kinds. Requests of a kind come with the same gap between them, give or take half of it.
Tally play(Fixture &fixture, const std::vector<Kind> &kinds, unsigned seed)
{
    constexpr int Length = 60'000;
    std::mt19937 random(seed);
    std::uniform_real_distribution<double> gap(0.5, 1.5);
    std::vector<double> nextArrival;
    for (const Kind &kind : kinds) {
        nextArrival.push_back(gap(random) * 1000.0 / kind.perSecond);
    }
    std::map<std::uint64_t, std::uint8_t> priorities;
    Tally tally;
    for (int now = 0; now < Length; ++now) {
        fixture.advance(at(now));
        for (std::size_t index = 0; index < kinds.size(); ++index) {
            while (nextArrival[index] <= now) {
                nextArrival[index] += gap(random) * 1000.0 / kinds[index].perSecond;
                const std::uint64_t call = priorities.size() + 1;
                priorities.emplace(call, kinds[index].priority);
                ++tally.asked.at(kinds[index].priority);
                fixture.offer(requestOf(call, kinds[index], at(now)), at(now));
            }
        }
    }
    for (const CallId call : fixture.served) {
        ++tally.served.at(priorities.at(call.value()));
    }
    return tally;
}

int mostInOneSecond(const std::vector<TimePoint> &turns)
{
    std::ptrdiff_t most = 0;
    for (auto first = turns.begin(); first != turns.end(); ++first) {
        most = std::max(most, std::lower_bound(first, turns.end(), *first + std::chrono::seconds{1}) - first);
    }
    return static_cast<int>(most);
}

}

// Guards against urgent requests that find no turn at a cold upstream, since frequent dependent calls took them all.
TEST_CASE("at a cold upstream urgent requests get their turns, and the least urgent ones are not starved")
{
    for (const unsigned seed : {1U, 2U, 3U, 4U}) {
        Fixture fixture;
        const Tally tally = play(fixture, {Urgent, Dependent, Bulk}, seed);
        INFO("seed " << seed << ": " << tally.share(0) << ' ' << tally.share(1) << ' ' << tally.share(2));
        CHECK(tally.share(0) >= 0.9);
        CHECK(tally.share(1) >= 0.25 * tally.shareOfAll());
        CHECK(tally.share(2) >= 0.25 * tally.shareOfAll());
        // No turn is left unused while there are requests, and no second has more than the rate and the burst.
        CHECK(fixture.turns.size() >= 60 * std::size_t(Rate) - 1);
        CHECK(mostInOneSecond(fixture.turns) <= int(Rate) + 2);
    }
    Fixture unordered({.ordersByPriority = false, .floorInterval = 8});
    const double withoutOrder = play(unordered, {Urgent, Dependent, Bulk}, 1).share(0);
    INFO("in order of arrival: " << withoutOrder);
    CHECK(withoutOrder < 0.5);
}

// Guards against an order of turns that uses more than the rate, or starves a kind, under other loads. One turn of
// eight is a quarter of the common share for a kind with up to half of all requests.
TEST_CASE("the rate holds and no priority is starved, whatever is asked for")
{
    const std::vector<std::vector<Kind>> loads{
        {Urgent, Bulk},
        {{60.0, 0, Milliseconds(36), Milliseconds(100), Milliseconds(1000)},
         {40.0, 1, Milliseconds(22), Milliseconds(250), Milliseconds(250)},
         Bulk},
        {{40.0, 0, Milliseconds(36), Milliseconds(400), Milliseconds(1000)}, Bulk},
        {Dependent, {60.0, 2, Milliseconds(72), Milliseconds(1200), Milliseconds(2000)}},
    };
    for (const std::vector<Kind> &load : loads) {
        Fixture fixture;
        const Tally tally = play(fixture, load, 7);
        CHECK(mostInOneSecond(fixture.turns) <= int(Rate) + 2);
        for (const Kind &kind : load) {
            INFO("priority " << int(kind.priority) << ": " << tally.share(kind.priority));
            CHECK(tally.share(kind.priority) >= 0.25 * tally.shareOfAll());
        }
    }
}

TEST_CASE("requests of one priority that aren't dependent get their turns in order of arrival")
{
    Fixture fixture;
    fixture.useUp();
    Kind patient = Bulk;
    patient.target = Milliseconds(4000);
    Kind sooner = Bulk;
    sooner.target = Milliseconds(3000);
    CHECK(fixture.offer(requestOf(1, patient, Start), Start));
    CHECK(fixture.offer(requestOf(2, sooner, Start), Start));
    CHECK(fixture.queue.lastWait(fixture.schedule(Start)) == 3 * Interval);
    fixture.advance(at(63));
    CHECK(fixture.served == std::vector{CallId(1)});
    CHECK(fixture.queue.remove(CallId(2)));
    fixture.advance(at(200));
    CHECK(fixture.served.size() == 1);
}

// Guards against an urgent request that is refused because of less urgent ones that came before it.
TEST_CASE("only the requests that go before a request count in its expected wait, and those behind it may be refused")
{
    Fixture fixture;
    fixture.useUp();
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
}

// Guards against a turn for a request that can't be in time any more while another one can.
TEST_CASE("a request that can still meet its target goes before a more urgent one that can't")
{
    TurnQueue queue;
    Kind slow = Dependent;
    slow.work = Milliseconds(300);
    queue.add(requestOf(1, slow, Start), Start);
    queue.add(requestOf(2, Bulk, Start), Start);
    CHECK(queue.next(at(10)) == CallId(2));
    CHECK(queue.next(at(10)) == CallId(1));
    CHECK_FALSE(queue.next(at(10)));
}

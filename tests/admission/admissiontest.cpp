#include "admission/admission.h"

#include <catch2/catch.hpp>

using namespace Egretpath;

namespace
{

const TimePoint Start = TimePoint{} + std::chrono::hours{1};
const Duration Far = std::chrono::seconds{10};

CallId id(std::uint64_t number)
{
    return CallId{number};
}

bool isAdmitted(const OfferOutcome &outcome)
{
    return std::holds_alternative<Admitted>(outcome);
}

bool isQueued(const OfferOutcome &outcome)
{
    return std::holds_alternative<Queued>(outcome);
}

Failure failureOf(const OfferOutcome &outcome)
{
    return std::get<Refused>(outcome).failure;
}

/// Lets calls of @p time finish, so that the service time is known.
void learnServiceTime(Admission &admission, Duration time, CallClass callClass = CallClass::Lookup)
{
    for (std::uint64_t call = 1000; call < 1005; ++call) {
        REQUIRE(isAdmitted(admission.offer(id(call), callClass, Start + Far, Start - time)));
        CHECK(admission.finish(id(call), Start).empty());
    }
}

}

TEST_CASE("slots first, then the queue by deadline, then refusals with a time to come back")
{
    Admission admission({1, 2, 0.5});
    learnServiceTime(admission, Milliseconds{10});
    CHECK(isAdmitted(admission.offer(id(1), CallClass::Lookup, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(2), CallClass::Lookup, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(3), CallClass::Lookup, Start + Far / 2, Start)));
    const Failure failure = failureOf(admission.offer(id(4), CallClass::Lookup, Start + Far, Start));
    CHECK(failure.verdict == Verdict::NotRun);
    CHECK(failure.reason == Reason::Overloaded);
    CHECK(failure.retryAfter == Milliseconds{30});
    CHECK(admission.finish(id(1), Start) == std::vector{id(3)});
    CHECK(admission.finish(id(3), Start) == std::vector{id(2)});
    CHECK(admission.finish(id(2), Start).empty());
    CHECK(admission.isIdle());
}

TEST_CASE("a queue of dead calls is not worked off")
{
    // The upstream stalls for a moment and the queue fills. When it goes on, the queued calls' callers have given up;
    // an egress that works them off first makes the next ones late as well, and never catches up.
    Admission admission({1, 4, 0.5});
    learnServiceTime(admission, Milliseconds{10});
    CHECK(isAdmitted(admission.offer(id(1), CallClass::Lookup, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(2), CallClass::Lookup, Start + Milliseconds{50}, Start)));
    CHECK(isQueued(admission.offer(id(3), CallClass::Lookup, Start + Milliseconds{60}, Start)));
    CHECK(isQueued(admission.offer(id(4), CallClass::Lookup, Start + Far, Start)));

    CHECK(admission.nextExpiry() == Start + Milliseconds{45});
    CHECK(admission.expire(Start + Milliseconds{44}).empty());
    const std::vector<ExpiredCall> expired = admission.expire(Start + Milliseconds{45});
    REQUIRE(expired.size() == 1);
    CHECK(expired[0].call == id(2));
    CHECK(expired[0].failure.verdict == Verdict::NotRun);

    const TimePoint late = Start + Milliseconds{58};
    CHECK(admission.finish(id(1), late) == std::vector{id(4)});
    CHECK(admission.expire(late).size() == 1);
    CHECK_FALSE(admission.nextExpiry().has_value());
}

TEST_CASE("a call that cannot meet its deadline is refused at once")
{
    Admission admission({1, 4, 0.5});
    learnServiceTime(admission, Milliseconds{10});
    CHECK(isAdmitted(admission.offer(id(1), CallClass::Lookup, Start + Far, Start)));
    CHECK(failureOf(admission.offer(id(2), CallClass::Lookup, Start, Start)).reason == Reason::DeadlinePassed);
    CHECK(failureOf(admission.offer(id(3), CallClass::Lookup, Start + Milliseconds{12}, Start)).reason
          == Reason::Overloaded);
    CHECK(isQueued(admission.offer(id(4), CallClass::Lookup, Start + Milliseconds{30}, Start)));
}

TEST_CASE("a service time that was once long does not shut the upstream for good")
{
    // One stall makes the smoothed service time longer than every deadline. If the prediction alone decided,
    // nothing would be admitted, and nothing would ever correct it.
    Admission admission({2, 4, 0.5});
    learnServiceTime(admission, std::chrono::seconds{5});
    for (std::uint64_t call = 1; call < 100; ++call) {
        const TimePoint now = Start + Milliseconds{call * 10};
        REQUIRE(isAdmitted(admission.offer(id(call), CallClass::Lookup, now + Milliseconds{100}, now)));
        CHECK(admission.finish(id(call), now + Milliseconds{5}).empty());
    }
    CHECK(admission.serviceTime(CallClass::Lookup) < Milliseconds{50});
}

TEST_CASE("a flood of uploads leaves slots and queue places to lookups")
{
    // At the end of the quarter firms upload a season of ledgers at once. Uploads hold their slots for seconds;
    // without a share of their own they take all of them, and every lookup and tariff check stands behind them.
    Admission admission({6, 4, 0.5});
    int admitted = 0;
    int queued = 0;
    for (std::uint64_t call = 1; call <= 20; ++call) {
        const OfferOutcome outcome = admission.offer(id(call), CallClass::Upload, Start + Far, Start);
        admitted += isAdmitted(outcome) ? 1 : 0;
        queued += isQueued(outcome) ? 1 : 0;
    }
    CHECK(admitted == 3);
    CHECK(queued == 2);
    for (std::uint64_t call = 100; call < 103; ++call) {
        CHECK(isAdmitted(admission.offer(id(call), CallClass::Internal, Start + Far, Start)));
    }
    CHECK(isQueued(admission.offer(id(103), CallClass::Lookup, Start + Far * 2, Start)));
    // A lookup's slot goes to the lookup, though the queued uploads have the earlier deadlines.
    CHECK(admission.finish(id(100), Start) == std::vector{id(103)});
    CHECK(admission.finish(id(1), Start) == std::vector{id(4)});
}

TEST_CASE("a draining upstream refuses new calls and serves those that it accepted")
{
    Admission admission({1, 2, 0.5});
    CHECK(isAdmitted(admission.offer(id(1), CallClass::Write, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(2), CallClass::Write, Start + Far, Start)));
    admission.drain();
    CHECK(failureOf(admission.offer(id(3), CallClass::Write, Start + Far, Start)).reason == Reason::Draining);
    CHECK(admission.report(Start).leaving);
    CHECK(admission.finish(id(1), Start) == std::vector{id(2)});
    CHECK_FALSE(admission.isIdle());
    CHECK(admission.finish(id(2), Start).empty());
    CHECK(admission.isIdle());
}

TEST_CASE("a cancelled call keeps its slot until the upstream is rid of it")
{
    Admission admission({1, 2, 0.5});
    CHECK(isAdmitted(admission.offer(id(1), CallClass::Lookup, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(2), CallClass::Lookup, Start + Far, Start)));
    CHECK(isQueued(admission.offer(id(3), CallClass::Lookup, Start + Far, Start)));
    CHECK(admission.cancel(id(2)) == CancelOutcome::WasQueued);
    CHECK(admission.cancel(id(2)) == CancelOutcome::Unknown);
    CHECK(admission.cancel(id(1)) == CancelOutcome::InFlight);
    CHECK(admission.inFlight() == 1);
    CHECK(admission.abandon(id(1), Start) == std::vector{id(3)});
    CHECK(admission.finish(id(1), Start).empty());
}

TEST_CASE("new caps take effect without cutting calls in flight")
{
    Admission admission({1, 4, 0.5});
    for (std::uint64_t call = 1; call <= 4; ++call) {
        CHECK_FALSE(std::holds_alternative<Refused>(admission.offer(id(call), CallClass::Lookup, Start + Far, Start)));
    }
    CHECK(admission.setCaps({3, 4, 0.5}, Start) == std::vector{id(2), id(3)});
    CHECK(admission.setCaps({1, 0, 0.5}, Start).empty());
    CHECK(admission.inFlight() == 3);
    CHECK(admission.finish(id(1), Start).empty());
    CHECK(admission.finish(id(2), Start).empty());
    CHECK(admission.finish(id(3), Start) == std::vector{id(4)});
}

TEST_CASE("a report shows a stall before any call ends")
{
    Admission admission({4, 4, 0.5});
    learnServiceTime(admission, Milliseconds{10});
    CHECK(admission.report(Start).serviceTimeMicroseconds == 10000);
    for (std::uint64_t call = 1; call <= 4; ++call) {
        CHECK(isAdmitted(admission.offer(id(call), CallClass::Lookup, Start + Far, Start)));
    }
    CHECK(admission.report(Start + Milliseconds{10}).serviceTimeMicroseconds == 10000);
    CHECK(admission.report(Start + Milliseconds{200}).serviceTimeMicroseconds > 50000);
    CHECK(admission.report(Start).inFlight == 4);
    CHECK(admission.report(Start).slots == 4);
}

TEST_CASE("the gradient limit falls while service times rise, and recovers")
{
    Admission admission({16, 0, 0.5}, makeGradientLimit());
    std::uint64_t next = 1;
    TimePoint now = Start;
    const auto playRounds = [&](Duration time, int rounds) {
        for (int round = 0; round < rounds; ++round) {
            std::vector<CallId> admitted;
            while (isAdmitted(admission.offer(id(next), CallClass::Lookup, now + Far, now))) {
                admitted.push_back(id(next++));
            }
            now += time;
            for (const CallId call : admitted) {
                CHECK(admission.finish(call, now).empty());
            }
        }
        return admission.report(now).slots;
    };
    CHECK(playRounds(Milliseconds{5}, 50) == 16);
    CHECK(playRounds(Milliseconds{50}, 5) < 8);
    CHECK(playRounds(Milliseconds{5}, 50) == 16);
}

#include <map>
#include <optional>
#include <vector>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "admission/workqueue.h"

using namespace Egretpath;

namespace
{

enum class Stage { Running, Queued, Ended };

/// A WorkQueue with a record of each call that was offered to it.
struct Observed
{
    WorkQueue queue;
    std::map<CallId, Stage> calls;
    TimePoint now = TimePoint{} + std::chrono::hours{1};
    std::uint64_t nextId = 1;

    [[nodiscard]] std::vector<CallId> at(Stage stage) const
    {
        std::vector<CallId> result;
        for (const auto &[call, known] : calls) {
            if (known == stage) {
                result.push_back(call);
            }
        }
        return result;
    }
};

/// Started calls were queued.
void takeStarted(Observed &observed, const std::vector<CallId> &started)
{
    for (const CallId call : started) {
        RC_ASSERT(observed.calls.at(call) == Stage::Queued);
        observed.calls.at(call) = Stage::Running;
    }
}

/// Expired calls were queued, and their callers are told that nothing ran.
void takeExpired(Observed &observed)
{
    for (const ExpiredCall &expired : observed.queue.expire(observed.now)) {
        RC_ASSERT(observed.calls.at(expired.call) == Stage::Queued);
        RC_ASSERT(expired.failure.verdict == Verdict::NotRun);
        observed.calls.at(expired.call) = Stage::Ended;
    }
    takeStarted(observed, observed.queue.resume(observed.now));
}

void offerCall(Observed &observed)
{
    WorkOffer offer;
    offer.call = CallId{observed.nextId++};
    offer.route = RouteName("route-" + std::to_string(*rc::gen::inRange(0, 3)));
    offer.priority = static_cast<std::uint8_t>(*rc::gen::inRange(0, 3));
    offer.target = observed.now + Milliseconds{*rc::gen::inRange(-100, 600)};
    offer.deadline = observed.now + Milliseconds{*rc::gen::inRange(-1, 1500)};
    offer.declineThreshold = Milliseconds{*rc::gen::inRange(0, 300)};
    const OfferOutcome outcome = observed.queue.offer(offer, observed.now);
    Stage stage = Stage::Ended;
    if (std::holds_alternative<Admitted>(outcome)) {
        stage = Stage::Running;
    } else if (std::holds_alternative<Queued>(outcome)) {
        stage = Stage::Queued;
    } else {
        RC_ASSERT(std::get<Refused>(outcome).failure.verdict == Verdict::NotRun);
    }
    observed.calls[offer.call] = stage;
}

void endRunning(Observed &observed, bool answered)
{
    const std::vector<CallId> running = observed.at(Stage::Running);
    if (running.empty()) {
        return;
    }
    const CallId call = *rc::gen::elementOf(running);
    observed.calls.at(call) = Stage::Ended;
    takeStarted(observed, observed.queue.finish(call, answered, observed.now));
    takeExpired(observed);
}

void cancelAny(Observed &observed)
{
    if (observed.calls.empty()) {
        return;
    }
    const CallId call = (*rc::gen::elementOf(observed.calls)).first;
    Stage &known = observed.calls.at(call);
    const CancelOutcome outcome = observed.queue.cancel(call);
    RC_ASSERT((outcome == CancelOutcome::WasQueued) == (known == Stage::Queued));
    RC_ASSERT((outcome == CancelOutcome::InFlight) == (known == Stage::Running));
    if (outcome == CancelOutcome::WasQueued) {
        known = Stage::Ended;
    }
}

void changeSlowdown(Observed &observed)
{
    const auto percent = static_cast<std::uint16_t>(*rc::gen::element(0, 100, 150, 200, 400, 800));
    takeStarted(observed, observed.queue.setSlowdown(percent, observed.now));
}

void passTime(Observed &observed)
{
    observed.now += Milliseconds{*rc::gen::inRange(0, 200)};
    takeExpired(observed);
    const std::optional<TimePoint> next = observed.queue.nextExpiry(observed.now);
    const bool isLater = !next || *next > observed.now;
    RC_ASSERT(isLater);
}

void checkCounts(const Observed &observed)
{
    RC_ASSERT(observed.queue.running() == observed.at(Stage::Running).size());
    RC_ASSERT(observed.queue.queued() == observed.at(Stage::Queued).size());
    RC_ASSERT(observed.queue.running() <= observed.queue.limit());
    // With a slot free, calls wait only for the end of a slow spell, and that is watched.
    const bool idles = observed.queue.running() < observed.queue.limit() && observed.queue.queued() > 0;
    RC_ASSERT(!idles || observed.queue.nextExpiry(observed.now).has_value());
}

}

TEST_CASE("no interleaving passes the limit, loses a call or ends one twice")
{
    const bool held = rc::check([] {
        Observed observed;
        (void)observed.queue.setSlots(*rc::gen::inRange(1U, 8U), observed.now);
        const int steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::inRange(0, 7)) {
            case 0:
            case 1:
                offerCall(observed);
                break;
            case 2:
            case 3:
                endRunning(observed, *rc::gen::arbitrary<bool>());
                break;
            case 4:
                cancelAny(observed);
                break;
            case 5:
                changeSlowdown(observed);
                break;
            default:
                passTime(observed);
            }
            checkCounts(observed);
        }
        while (!observed.at(Stage::Running).empty()) {
            endRunning(observed, true);
        }
        observed.now += std::chrono::seconds{60};
        passTime(observed);
        while (!observed.at(Stage::Running).empty()) {
            endRunning(observed, true);
        }
        RC_ASSERT(observed.queue.isIdle());
    });
    CHECK(held);
}

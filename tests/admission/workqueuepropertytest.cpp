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

/// A WorkQueue with the stage of each call that was offered to it.
struct ObservedQueue
{
    WorkQueue queue;
    std::uint32_t slots = 1;
    bool startsAboveLimit = true;
    std::map<CallId, Stage> calls;
    TimePoint now = TimePoint{} + std::chrono::hours{1};
    std::uint64_t nextId = 1;

    [[nodiscard]] std::vector<CallId> at(Stage stage) const
    {
        std::vector<CallId> result;
        for (const auto &[call, callStage] : calls) {
            if (callStage == stage) {
                result.push_back(call);
            }
        }
        return result;
    }
};

/// Records that calls started. They must have been queued before.
void recordStarted(ObservedQueue &observed, const std::vector<CallId> &started)
{
    for (const CallId call : started) {
        RC_ASSERT(observed.calls.at(call) == Stage::Queued);
        observed.calls.at(call) = Stage::Running;
    }
}

/// Records the calls that expire and those that start then. Expired calls must have been queued, and their callers
/// must be told that nothing ran.
void recordExpired(ObservedQueue &observed)
{
    for (const ExpiredCall &expired : observed.queue.expire(observed.now)) {
        RC_ASSERT(observed.calls.at(expired.call) == Stage::Queued);
        RC_ASSERT(expired.failure.verdict == Verdict::NotRun);
        observed.calls.at(expired.call) = Stage::Ended;
    }
    recordStarted(observed, observed.queue.resume(observed.now));
}

void offerCall(ObservedQueue &observed)
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
        if (const auto &displaced = std::get<Queued>(outcome).displaced) {
            RC_ASSERT(observed.calls.at(displaced->call) == Stage::Queued);
            RC_ASSERT(displaced->failure.verdict == Verdict::NotRun);
            observed.calls.at(displaced->call) = Stage::Ended;
        }
    } else {
        RC_ASSERT(std::get<Refused>(outcome).failure.verdict == Verdict::NotRun);
    }
    observed.calls[offer.call] = stage;
}

void endRunning(ObservedQueue &observed, bool answered)
{
    const std::vector<CallId> running = observed.at(Stage::Running);
    if (running.empty()) {
        return;
    }
    const CallId call = *rc::gen::elementOf(running);
    observed.calls.at(call) = Stage::Ended;
    recordStarted(observed, observed.queue.finish(call, answered, observed.now));
    recordExpired(observed);
}

void cancelAny(ObservedQueue &observed)
{
    if (observed.calls.empty()) {
        return;
    }
    const CallId call = (*rc::gen::elementOf(observed.calls)).first;
    Stage &stage = observed.calls.at(call);
    const CancelOutcome outcome = observed.queue.cancel(call);
    RC_ASSERT((outcome == CancelOutcome::WasQueued) == (stage == Stage::Queued));
    RC_ASSERT((outcome == CancelOutcome::InFlight) == (stage == Stage::Running));
    if (outcome == CancelOutcome::WasQueued) {
        stage = Stage::Ended;
    }
}

void changeSlowdown(ObservedQueue &observed)
{
    const auto percent = static_cast<std::uint16_t>(*rc::gen::element(0, 100, 150, 200, 400, 800));
    recordStarted(observed, observed.queue.setSlowdown(percent, observed.now));
}

void advanceTime(ObservedQueue &observed)
{
    observed.now += Milliseconds{*rc::gen::inRange(0, 200)};
    recordExpired(observed);
    const std::optional<TimePoint> next = observed.queue.nextExpiry(observed.now);
    const bool isLater = !next || *next > observed.now;
    RC_ASSERT(isLater);
}

void checkCounts(const ObservedQueue &observed)
{
    RC_ASSERT(observed.queue.running() == observed.at(Stage::Running).size());
    RC_ASSERT(observed.queue.queued() == observed.at(Stage::Queued).size());
    std::size_t aboveLimit = 0;
    for (const CallId call : observed.at(Stage::Running)) {
        aboveLimit += observed.queue.startedAboveLimit(call) ? 1 : 0;
    }
    RC_ASSERT(observed.queue.running() <= observed.queue.limit() + (observed.startsAboveLimit ? aboveLimit : 0));
    RC_ASSERT(observed.queue.running() <= observed.slots);
    // While a slot is free, calls wait only for the end of a slow period, and nextExpiry() covers that end.
    const bool hasIdleSlot = observed.queue.running() < observed.queue.limit() && observed.queue.queued() > 0;
    RC_ASSERT(!hasIdleSlot || observed.queue.nextExpiry(observed.now).has_value());
}

}

TEST_CASE("no sequence of events exceeds the limit, loses a call or ends a call twice")
{
    const bool holds = rc::check([] {
        ObservedQueue observed;
        WorkQueueSettings settings;
        settings.startsAboveLimit = *rc::gen::arbitrary<bool>();
        observed.queue = WorkQueue(settings);
        observed.startsAboveLimit = settings.startsAboveLimit;
        observed.slots = *rc::gen::inRange(1U, 8U);
        (void)observed.queue.setSlots(observed.slots, observed.now);
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
                advanceTime(observed);
            }
            checkCounts(observed);
        }
        while (!observed.at(Stage::Running).empty()) {
            endRunning(observed, true);
        }
        observed.now += std::chrono::seconds{60};
        advanceTime(observed);
        while (!observed.at(Stage::Running).empty()) {
            endRunning(observed, true);
        }
        RC_ASSERT(observed.queue.isIdle());
    });
    CHECK(holds);
}

#include <algorithm>
#include <map>
#include <optional>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "admission/admission.h"

using namespace Egretpath;

namespace
{

enum class Stage { Running, Queued, Ended };

struct KnownCall
{
    Stage stage = Stage::Ended;
    CallClass callClass = CallClass::Lookup;
    TimePoint deadline;
};

/// An Admission with a record of each call that was offered to it.
struct Observed
{
    AdmissionCaps caps;
    Admission admission;
    std::map<CallId, KnownCall> calls;
    TimePoint now = TimePoint{} + std::chrono::hours{1};
    std::uint64_t nextId = 1;

    explicit Observed(AdmissionCaps wanted)
        : caps(wanted)
        , admission(wanted)
    {
    }

    std::vector<CallId> at(Stage stage) const
    {
        std::vector<CallId> result;
        for (const auto &[call, known] : calls) {
            if (known.stage == stage) {
                result.push_back(call);
            }
        }
        return result;
    }

    std::size_t runningUploads() const
    {
        return static_cast<std::size_t>(std::count_if(calls.begin(), calls.end(), [](const auto &entry) {
            return entry.second.stage == Stage::Running && entry.second.callClass == CallClass::Upload;
        }));
    }
};

void offerCall(Observed &observed)
{
    const CallId call{observed.nextId++};
    const auto callClass = static_cast<CallClass>(*rc::gen::inRange<int>(0, CallClassCount));
    const TimePoint deadline = observed.now + Milliseconds{*rc::gen::inRange(-1, 60)};
    const OfferOutcome outcome = observed.admission.offer(call, callClass, deadline, observed.now);
    Stage stage = Stage::Ended;
    if (std::holds_alternative<Admitted>(outcome)) {
        stage = Stage::Running;
    } else if (std::holds_alternative<Queued>(outcome)) {
        stage = Stage::Queued;
    } else {
        RC_ASSERT(std::get<Refused>(outcome).failure.verdict == Verdict::NotRun);
    }
    observed.calls[call] = {stage, callClass, deadline};
}

/// Started calls were queued, and come in the order of their deadlines within a class.
void takeStarted(Observed &observed, const std::vector<CallId> &started)
{
    std::map<CallClass, TimePoint> last;
    for (const CallId call : started) {
        KnownCall &known = observed.calls.at(call);
        RC_ASSERT(known.stage == Stage::Queued);
        RC_ASSERT(known.deadline > observed.now);
        RC_ASSERT(known.deadline >= last[known.callClass]);
        last[known.callClass] = known.deadline;
        known.stage = Stage::Running;
    }
}

/// No queued lookup with an earlier deadline that could still be met was passed over by a later one.
void checkOrder(const Observed &observed, const std::vector<CallId> &started)
{
    for (const CallId call : started) {
        for (const auto &[other, known] : observed.calls) {
            const bool passedOver = known.stage == Stage::Queued && known.callClass == observed.calls.at(call).callClass
                && known.deadline < observed.calls.at(call).deadline;
            RC_ASSERT(!passedOver);
        }
    }
}

void endRunning(Observed &observed, bool answered)
{
    const std::vector<CallId> running = observed.at(Stage::Running);
    if (running.empty()) {
        return;
    }
    const CallId call = *rc::gen::elementOf(running);
    observed.calls.at(call).stage = Stage::Ended;
    const std::vector<CallId> started =
        answered ? observed.admission.finish(call, observed.now) : observed.admission.abandon(call, observed.now);
    takeStarted(observed, started);
    for (const ExpiredCall &expired : observed.admission.expire(observed.now)) {
        RC_ASSERT(observed.calls.at(expired.call).stage == Stage::Queued);
        observed.calls.at(expired.call).stage = Stage::Ended;
    }
    checkOrder(observed, started);
}

void cancelAny(Observed &observed)
{
    if (observed.calls.empty()) {
        return;
    }
    const CallId call = (*rc::gen::elementOf(observed.calls)).first;
    KnownCall &known = observed.calls.at(call);
    const CancelOutcome outcome = observed.admission.cancel(call);
    RC_ASSERT((outcome == CancelOutcome::WasQueued) == (known.stage == Stage::Queued));
    RC_ASSERT((outcome == CancelOutcome::InFlight) == (known.stage == Stage::Running));
    if (outcome == CancelOutcome::WasQueued) {
        known.stage = Stage::Ended;
    }
}

void passTime(Observed &observed)
{
    observed.now += Milliseconds{*rc::gen::inRange(0, 20)};
    for (const ExpiredCall &expired : observed.admission.expire(observed.now)) {
        RC_ASSERT(observed.calls.at(expired.call).stage == Stage::Queued);
        RC_ASSERT(expired.failure.verdict == Verdict::NotRun);
        observed.calls.at(expired.call).stage = Stage::Ended;
    }
    const std::optional<TimePoint> next = observed.admission.nextExpiry();
    const bool isLater = !next || *next > observed.now;
    RC_ASSERT(isLater);
}

void checkCounts(const Observed &observed)
{
    RC_ASSERT(observed.admission.inFlight() == observed.at(Stage::Running).size());
    RC_ASSERT(observed.admission.queued() == observed.at(Stage::Queued).size());
    RC_ASSERT(observed.admission.inFlight() <= observed.caps.inFlightCap);
    RC_ASSERT(observed.admission.queued() <= observed.caps.queueCap);
    RC_ASSERT(observed.runningUploads() <= std::max<std::size_t>(1, observed.caps.inFlightCap / 2));
}

}

TEST_CASE("no interleaving breaks the caps, loses a call or ends one twice")
{
    const bool held = rc::check([] {
        Observed observed({*rc::gen::inRange(0U, 6U), *rc::gen::inRange(0U, 6U), 0.5});
        const int steps = *rc::gen::inRange(1, 120);
        for (int step = 0; step < steps; ++step) {
            switch (*rc::gen::inRange(0, 6)) {
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
        RC_ASSERT(observed.admission.isIdle());
    });
    CHECK(held);
}

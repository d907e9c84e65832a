#include "admission/workqueue.h"

#include <algorithm>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

constexpr double Percent = 100.0;
/// Lower limit of the time for which a late call stays queued, even if it was late on arrival; about the time in which
/// one slot becomes free.
constexpr Milliseconds MinLateWait{60};
/// How many times longer work takes at most that starts above the fill limit: the slowdown of a nearly full upstream.
constexpr double NearlyFullSlowdown = 1.7;
constexpr double MaxSlowdownPercent = 5000.0;

std::uint16_t slowdownInPercent(double factor)
{
    return static_cast<std::uint16_t>(std::min(Percent * factor, MaxSlowdownPercent));
}

std::uint32_t asMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<Microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<Microseconds::rep>(count, 0, UINT32_MAX));
}

}

WorkQueue::WorkQueue(WorkQueueSettings settings)
    : settings_(settings)
    , times_(settings.waitsForSlowPeriodEnd)
    , slots_(settings.maxFill, settings.startsAboveLimit)
{
}

std::vector<CallId> WorkQueue::setSlots(std::uint32_t slots, TimePoint now)
{
    slots_.setSlots(slots);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setSlowdown(std::uint16_t percent, TimePoint now)
{
    times_.recordSlowdown(percent == 0 ? 1.0 : percent / Percent, now);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setExternalRequests(std::uint32_t requests, TimePoint now)
{
    slots_.setExternalRequests(requests);
    return startQueued(now);
}

std::optional<Failure> WorkQueue::rejection(const WorkOffer &offer, TimePoint now) const
{
    return decide(offer, now).failure;
}

WorkQueue::Decision WorkQueue::decide(const WorkOffer &offer, TimePoint now) const
{
    if (offer.deadline <= now) {
        return {refusal(Reason::DeadlinePassed, offer, now)};
    }
    const bool mayGoElsewhere = offer.declineThreshold > Duration{0};
    if (mayGoElsewhere && hasCoSuspect(offer)) {
        return {notRun(Reason::Declined, "a request that the same upstream broke off with is here")};
    }
    const auto [wait, startsAtOnce] = forecast(offer, now);
    if (mayGoElsewhere && expectedAfter(wait, offer, now) > offer.declineThreshold) {
        return {notRun(Reason::Declined, "another upstream is thought to be quicker")};
    }
    if (startsAtOnce) {
        return {std::nullopt, true};
    }
    Decision decision;
    const TimePoint begin = now + wait;
    if (begin > latestStart(offer, now)) {
        decision.failure = refusal(Reason::Overloaded, offer, now);
    } else if (times_.isLate(offer, begin, now) && !hasRoomForLateCall(begin, now)) {
        decision.displaced = displaceable(offer, begin, now);
        if (decision.displaced == queue_.end()) {
            decision.failure = refusal(Reason::Overloaded, offer, now);
        }
    }
    return decision;
}

OfferOutcome WorkQueue::offer(const WorkOffer &offer, TimePoint now)
{
    Decision decision = decide(offer, now);
    if (decision.failure) {
        return Refused{std::move(*decision.failure)};
    }
    if (decision.startsAtOnce) {
        start(offer, now);
        return Admitted{};
    }
    Queued queued;
    if (decision.displaced) {
        const auto place = *decision.displaced;
        Failure failure = refusal(Reason::Overloaded, place->offer, now);
        failure.detail = "displaced by a more urgent request";
        queued.displaced = ExpiredCall{place->offer.call, std::move(failure)};
        queue_.erase(place);
    }
    queue_.push_back({offer, now});
    return queued;
}

std::vector<CallId> WorkQueue::finish(CallId call, bool answered, TimePoint now)
{
    const auto place = slots_.running().find(call);
    if (place == slots_.running().end()) {
        return {};
    }
    times_.recordEnd(place->second, answered, now);
    slots_.finish(call);
    return startQueued(now);
}

CancelOutcome WorkQueue::cancel(CallId call)
{
    if (slots_.running().contains(call)) {
        return CancelOutcome::InFlight;
    }
    const auto erased =
        std::erase_if(queue_, [call](const QueuedCall &queuedCall) { return queuedCall.offer.call == call; });
    return erased > 0 ? CancelOutcome::WasQueued : CancelOutcome::Unknown;
}

std::vector<ExpiredCall> WorkQueue::expire(TimePoint now)
{
    std::vector<ExpiredCall> expired;
    for (auto place = queue_.begin(); place != queue_.end();) {
        if (expiryTime(*place, now) > now) {
            ++place;
            continue;
        }
        expired.push_back({place->offer.call, refusal(Reason::Overloaded, place->offer, now)});
        place = queue_.erase(place);
    }
    return expired;
}

std::optional<TimePoint> WorkQueue::nextExpiry(TimePoint now) const
{
    std::optional<TimePoint> earliest;
    for (const QueuedCall &queuedCall : queue_) {
        const TimePoint time = expiryTime(queuedCall, now);
        earliest = earliest ? std::min(*earliest, time) : time;
    }
    if (needsSlowdownUpdates(now)) {
        earliest = std::min(*earliest, times_.slowdown().slowPeriodLimit());
    }
    return earliest;
}

std::uint8_t WorkQueue::lowestQueuedPriority() const
{
    std::uint8_t lowest = 0;
    for (const QueuedCall &queuedCall : queue_) {
        lowest = std::max(lowest, queuedCall.offer.priority);
    }
    return lowest;
}

bool WorkQueue::needsSlowdownUpdates(TimePoint now) const
{
    const auto waitsForEnd = [this, now](const QueuedCall &queuedCall) {
        return times_.waitsForSlowPeriodEnd(queuedCall.offer.route, now);
    };
    return slots_.hasFree() && std::any_of(queue_.begin(), queue_.end(), waitsForEnd);
}

std::uint8_t WorkQueue::localPriority(const RouteName &route, std::uint8_t priority, bool isDependent) const
{
    return isDependent && times_.isShort(route) ? std::uint8_t{0} : priority;
}

LoadReport WorkQueue::report(const RouteName &route, TimePoint now) const
{
    LoadReport report;
    report.inFlight = static_cast<std::uint32_t>(slots_.occupied());
    report.queued = static_cast<std::uint32_t>(queue_.size());
    report.slots = limit();
    report.serviceTimeMicroseconds = asMicroseconds(times_.service().baseline(route));
    const double ownSlowdown = times_.upstreamSlowdown(slots_.running(), now);
    report.slowdownPercent = slowdownInPercent(times_.slowdown().factor() * ownSlowdown);
    report.recoveredSlowdownPercent = report.slowdownPercent;
    if (times_.mayWaitForSlowPeriodEnd() && times_.slowdown().slowPeriodLeft(now) > Duration{0}) {
        report.recoveredSlowdownPercent = slowdownInPercent(times_.slowdown().recoveredSlowdown(now) * ownSlowdown);
        report.slowPeriodLeftMicroseconds = asMicroseconds(times_.slowdown().slowPeriodLeft(now));
    }
    report.meanServiceMicroseconds = asMicroseconds(times_.service().overall());
    if (lowestQueuedPriority() > 0 || slots_.runsLowerPriority(0)) {
        // At least 1, because 0 says that the wait is unknown.
        report.urgentWaitMicroseconds = std::max(asMicroseconds(scaled(urgentWait(now), ownSlowdown)), 1U);
    }
    report.failurePercent = static_cast<std::uint8_t>(std::clamp(failureShare_, 0.0, 1.0) * Percent);
    return report;
}

Duration WorkQueue::expected(const WorkOffer &offer, TimePoint now) const
{
    return expectedAfter(forecast(offer, now).wait, offer, now);
}

Duration WorkQueue::expectedAfter(Duration wait, const WorkOffer &offer, TimePoint now) const
{
    const double failureScale = 1.0 + settings_.failureFactor * failureShare_;
    return scaled(wait + times_.serviceTime(offer.route, now),
                  failureScale * times_.upstreamSlowdown(slots_.running(), now));
}

WorkQueue::Forecast WorkQueue::forecast(const WorkOffer &offer, TimePoint now) const
{
    const bool waitsForEnd = times_.waitsForSlowPeriodEnd(offer.route, now);
    const bool waitsForOther = waitsForCoSuspect(offer);
    const bool isReady = !waitsForEnd && !waitsForOther;
    // While a slot is free, the queue contains only calls that wait for the end of a slow period or for a co-suspect.
    if (slots_.hasFree() && isReady) {
        return {Duration{0}, true};
    }
    const Duration slowPeriod = waitsForEnd ? times_.slowdown().slowPeriodLeft(now) : Duration{0};
    const Duration coSuspectTime = waitsForOther ? slots_.coSuspectTimeLeft(offer, times_, now) : Duration{0};
    const Duration earliest = std::max(slowPeriod, coSuspectTime);
    const Duration wait = slotWait(offer, false, earliest, now);
    if (!needsSlotAboveLimit(offer, wait, now)) {
        return {wait, false};
    }
    const bool startsAtOnce = slots_.hasFreeAboveLimit() && isReady;
    return {startsAtOnce ? Duration{0} : slotWait(offer, true, earliest, now), startsAtOnce};
}

bool WorkQueue::needsSlotAboveLimit(const WorkOffer &offer, Duration wait, TimePoint now) const
{
    if (!slots_.admitsAboveLimit(offer.priority)) {
        return false;
    }
    const Duration slowing = scaled(times_.serviceTime(offer.route, now), NearlyFullSlowdown - 1.0);
    const bool isFloorDue = settings_.keepsPriorityFloor && floor_.isDue() && lowestQueuedPriority() > offer.priority;
    return !isFloorDue && times_.isLate(offer, now + wait, now) && !times_.isLate(offer, now + slowing, now);
}

bool WorkQueue::waitsForCoSuspect(const WorkOffer &offer) const
{
    return settings_.separatesCoSuspects && slots_.runsCoSuspect(offer);
}

bool WorkQueue::hasCoSuspect(const WorkOffer &offer) const
{
    const bool isQueued = std::any_of(queue_.begin(), queue_.end(), [&](const QueuedCall &queuedCall) {
        return settings_.separatesCoSuspects && areCoSuspects(offer, queuedCall.offer.disconnectedUpstream);
    });
    return isQueued || waitsForCoSuspect(offer);
}

Duration WorkQueue::urgentWait(TimePoint now) const
{
    WorkOffer offer;
    offer.target = TimePoint::max();
    offer.deadline = TimePoint::max();
    return slots_.hasFree() ? Duration{0} : slotWait(offer, false, Duration{0}, now);
}

/// Simulates the slots: they become free one by one and are taken by the queued calls that go before @p offer.
Duration WorkQueue::slotWait(const WorkOffer &offer, bool countsAll, Duration earliest, TimePoint now) const
{
    std::vector<Duration> freeAfter = slots_.freeAfter(countsAll, times_, now);
    for (Duration &after : freeAfter) {
        after = std::max(after, earliest);
    }
    const Urgency own = urgency(offer, now);
    for (const QueuedCall &queuedCall : queue_) {
        if (own < urgency(queuedCall.offer, now)) {
            continue;
        }
        const auto soonest = std::min_element(freeAfter.begin(), freeAfter.end());
        *soonest += times_.serviceTime(queuedCall.offer.route, now);
    }
    return *std::min_element(freeAfter.begin(), freeAfter.end());
}

TimePoint WorkQueue::latestStart(const WorkOffer &offer, TimePoint now) const
{
    const Duration needed = scaled(times_.serviceTime(offer.route, now), settings_.minServiceShare);
    return offer.deadline - std::max<Duration>(needed, settings_.refusalLead);
}

TimePoint WorkQueue::expiryTime(const QueuedCall &queuedCall, TimePoint now) const
{
    const Duration targetLength = std::max(queuedCall.offer.target - queuedCall.arrival, Duration{0});
    const TimePoint lateSince =
        std::max(queuedCall.offer.target - times_.serviceTime(queuedCall.offer.route, now), queuedCall.arrival);
    const Duration allowedLateWait = std::max(scaled(targetLength, settings_.maxLateWait), Duration{MinLateWait});
    return std::min(latestStart(queuedCall.offer, now), lateSince + allowedLateWait);
}

bool WorkQueue::hasRoomForLateCall(TimePoint start, TimePoint now) const
{
    const auto lateCalls =
        std::count_if(queue_.begin(), queue_.end(), [this, start, now](const QueuedCall &queuedCall) {
            return times_.isLate(queuedCall.offer, start, now);
        });
    return static_cast<double>(lateCalls) < settings_.maxLateBacklog * limit();
}

/// Of the late queued calls of the lowest priority, the one that would start last.
WorkQueue::QueuedCalls::const_iterator WorkQueue::displaceable(const WorkOffer &offer, TimePoint start,
                                                               TimePoint now) const
{
    if (!settings_.displacesLowerPriority) {
        return queue_.end();
    }
    auto last = queue_.end();
    for (auto place = queue_.begin(); place != queue_.end(); ++place) {
        const bool isLowest = last == queue_.end() || place->offer.priority > last->offer.priority
            || (place->offer.priority == last->offer.priority
                && urgency(last->offer, now) < urgency(place->offer, now));
        if (place->offer.priority > offer.priority && isLowest && times_.isLate(place->offer, start, now)) {
            last = place;
        }
    }
    return last;
}

std::vector<CallId> WorkQueue::startQueued(TimePoint now)
{
    std::vector<CallId> started;
    for (auto place = nextReady(now); place != queue_.end(); place = nextReady(now)) {
        start(place->offer, now);
        started.push_back(place->offer.call);
        queue_.erase(place);
    }
    return started;
}

WorkQueue::Urgency WorkQueue::urgency(const WorkOffer &offer, TimePoint now) const
{
    if (!settings_.ordersByUrgency) {
        return {};
    }
    const bool missesTarget = times_.isLate(offer, now, now);
    return {missesTarget, offer.priority, missesTarget ? now - offer.deadline : offer.target - now};
}

bool WorkQueue::isReady(const WorkOffer &offer, TimePoint now) const
{
    // A call that is too late stays queued until expire() returns it with a failure.
    return latestStart(offer, now) > now && !times_.waitsForSlowPeriodEnd(offer.route, now)
        && !waitsForCoSuspect(offer);
}

WorkQueue::QueuedCalls::const_iterator WorkQueue::nextReady(TimePoint now) const
{
    if (queue_.empty() || (!slots_.hasFree() && !slots_.hasFreeAboveLimit())) {
        return queue_.end();
    }
    const bool hasFree = slots_.hasFree();
    const bool isFloorDue = hasFree && settings_.keepsPriorityFloor && floor_.isDue();
    const std::uint8_t lowest = isFloorDue ? lowestQueuedPriority() : 0;
    const Duration nextFree = hasFree ? Duration{0} : slots_.freeAfter(false, times_, now).front();
    auto best = queue_.end();
    auto reserved = queue_.end();
    for (auto place = queue_.begin(); place != queue_.end(); ++place) {
        const WorkOffer &offer = place->offer;
        const bool mayBeBest = (hasFree || needsSlotAboveLimit(offer, nextFree, now))
            && (best == queue_.end() || urgency(offer, now) < urgency(best->offer, now));
        const bool mayBeReserved = isFloorDue && offer.priority == lowest
            && (reserved == queue_.end() || urgency(offer, now) < urgency(reserved->offer, now));
        if ((mayBeBest || mayBeReserved) && isReady(offer, now)) {
            best = mayBeBest ? place : best;
            reserved = mayBeReserved ? place : reserved;
        }
    }
    return reserved != queue_.end() ? reserved : best;
}

Failure WorkQueue::refusal(Reason reason, const WorkOffer &offer, TimePoint now) const
{
    const auto wait = std::max(std::chrono::ceil<Milliseconds>(forecast(offer, now).wait), Milliseconds{1});
    const bool hasPassed = reason == Reason::DeadlinePassed;
    return notRun(
        reason, hasPassed ? "the deadline passed before the request could start" : "no slot before the deadline", wait);
}

void WorkQueue::start(const WorkOffer &offer, TimePoint now)
{
    floor_.onStarted(offer.priority, lowestQueuedPriority());
    slots_.start(offer.call,
                 {offer.route, offer.priority, now, times_.slowdown().factor(), offer.disconnectedUpstream});
}

}

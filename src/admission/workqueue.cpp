#include "admission/workqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

constexpr double Percent = 100.0;
/// Added before limit() rounds down: four fifths of five slots are four, but binary fractions may yield slightly less.
constexpr double RoundingTolerance = 1e-9;
/// Lower limit of the time for which a late call stays queued, even if it was late on arrival; about the time in which
/// one slot becomes free.
constexpr Milliseconds MinLateWait{60};
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
{
}

std::vector<CallId> WorkQueue::setSlots(std::uint32_t slots, TimePoint now)
{
    slots_ = std::max(slots, 1U);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setSlowdown(std::uint16_t percent, TimePoint now)
{
    times_.recordSlowdown(percent == 0 ? 1.0 : percent / Percent, now);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setExternalRequests(std::uint32_t requests, TimePoint now)
{
    // External requests can't occupy more than all slots, whatever the upstream reports.
    externalRequests_ = std::min(requests, slots_);
    return startQueued(now);
}

std::uint32_t WorkQueue::limit() const
{
    // The largest number of calls that does not exceed the fill level at which the upstream slows itself down.
    return std::max(1U, static_cast<std::uint32_t>(std::floor(settings_.maxFill * slots_ + RoundingTolerance)));
}

std::optional<Failure> WorkQueue::rejection(const WorkOffer &offer, TimePoint now) const
{
    if (offer.deadline <= now) {
        return refusal(Reason::DeadlinePassed, offer, now);
    }
    const bool mayGoElsewhere = offer.declineThreshold > Duration{0};
    if (mayGoElsewhere && hasCoSuspect(offer)) {
        return notRun(Reason::Declined, "a request that the same upstream broke off with is here");
    }
    if (mayGoElsewhere && expected(offer, now) > offer.declineThreshold) {
        return notRun(Reason::Declined, "another upstream is thought to be quicker");
    }
    if (startsAtOnce(offer, now)) {
        return std::nullopt;
    }
    const TimePoint begin = now + expectedWait(offer, now);
    if (begin > latestStart(offer, now) || (times_.isLate(offer, begin, now) && !hasRoomForLateCall(begin, now))) {
        return refusal(Reason::Overloaded, offer, now);
    }
    return std::nullopt;
}

OfferOutcome WorkQueue::offer(const WorkOffer &offer, TimePoint now)
{
    if (auto failure = rejection(offer, now)) {
        return Refused{std::move(*failure)};
    }
    if (startsAtOnce(offer, now)) {
        start(offer, now);
        return Admitted{};
    }
    queue_.push_back({offer, now});
    return Queued{};
}

std::vector<CallId> WorkQueue::finish(CallId call, bool answered, TimePoint now)
{
    const auto place = running_.find(call);
    if (place == running_.end()) {
        return {};
    }
    times_.recordEnd(place->second, answered, now);
    running_.erase(place);
    return startQueued(now);
}

CancelOutcome WorkQueue::cancel(CallId call)
{
    if (running_.contains(call)) {
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

bool WorkQueue::needsSlowdownUpdates(TimePoint now) const
{
    const auto waitsForEnd = [this, now](const QueuedCall &queuedCall) {
        return times_.waitsForSlowPeriodEnd(queuedCall.offer.route, now);
    };
    return hasFreeSlot() && std::any_of(queue_.begin(), queue_.end(), waitsForEnd);
}

LoadReport WorkQueue::report(const RouteName &route, TimePoint now) const
{
    LoadReport report;
    report.inFlight = static_cast<std::uint32_t>(occupiedSlots());
    report.queued = static_cast<std::uint32_t>(queue_.size());
    report.slots = limit();
    report.serviceTimeMicroseconds = asMicroseconds(times_.service().baseline(route));
    const double ownSlowdown = times_.upstreamSlowdown(running_, now);
    report.slowdownPercent = slowdownInPercent(times_.slowdown().factor() * ownSlowdown);
    report.recoveredSlowdownPercent = report.slowdownPercent;
    if (times_.mayWaitForSlowPeriodEnd() && times_.slowdown().slowPeriodLeft(now) > Duration{0}) {
        report.recoveredSlowdownPercent = slowdownInPercent(times_.slowdown().recoveredSlowdown(now) * ownSlowdown);
        report.slowPeriodLeftMicroseconds = asMicroseconds(times_.slowdown().slowPeriodLeft(now));
    }
    report.meanServiceMicroseconds = asMicroseconds(times_.service().overall());
    report.failurePercent = static_cast<std::uint8_t>(std::clamp(failureShare_, 0.0, 1.0) * Percent);
    return report;
}

Duration WorkQueue::expected(const WorkOffer &offer, TimePoint now) const
{
    const double failureScale = 1.0 + settings_.failureFactor * failureShare_;
    return scaled(expectedWait(offer, now) + times_.serviceTime(offer.route, now),
                  failureScale * times_.upstreamSlowdown(running_, now));
}

bool WorkQueue::startsAtOnce(const WorkOffer &offer, TimePoint now) const
{
    // While a slot is free, the queue contains only calls that wait for the end of a slow period or for a co-suspect.
    return hasFreeSlot() && !times_.waitsForSlowPeriodEnd(offer.route, now) && !waitsForCoSuspect(offer);
}

bool WorkQueue::areCoSuspects(const WorkOffer &offer, const UpstreamName &disconnectedUpstream) const
{
    return settings_.separatesCoSuspects && !offer.disconnectedUpstream.value().empty()
        && offer.disconnectedUpstream == disconnectedUpstream;
}

bool WorkQueue::waitsForCoSuspect(const WorkOffer &offer) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto &item) { return areCoSuspects(offer, item.second.disconnectedUpstream); });
}

bool WorkQueue::hasCoSuspect(const WorkOffer &offer) const
{
    const bool isQueued = std::any_of(queue_.begin(), queue_.end(), [&](const QueuedCall &queuedCall) {
        return areCoSuspects(offer, queuedCall.offer.disconnectedUpstream);
    });
    return isQueued || waitsForCoSuspect(offer);
}

Duration WorkQueue::coSuspectTimeLeft(const WorkOffer &offer, TimePoint now) const
{
    Duration left{0};
    for (const auto &[call, running] : running_) {
        if (areCoSuspects(offer, running.disconnectedUpstream)) {
            left = std::max(left, times_.timeLeft(running, now));
        }
    }
    return left;
}

/// Simulates the slots: they become free one by one and are taken by the queued calls that go before @p offer.
Duration WorkQueue::expectedWait(const WorkOffer &offer, TimePoint now) const
{
    if (startsAtOnce(offer, now)) {
        return Duration{0};
    }
    const Duration slowPeriod =
        times_.waitsForSlowPeriodEnd(offer.route, now) ? times_.slowdown().slowPeriodLeft(now) : Duration{0};
    const Duration coSuspectTime = coSuspectTimeLeft(offer, now);
    std::vector<Duration> freeAfter = slotsFreeAfter(now);
    for (Duration &after : freeAfter) {
        after = std::max({after, slowPeriod, coSuspectTime});
    }
    for (const QueuedCall &queuedCall : queue_) {
        if (goesBefore(offer, queuedCall.offer, now)) {
            continue;
        }
        const auto soonest = std::min_element(freeAfter.begin(), freeAfter.end());
        *soonest += times_.serviceTime(queuedCall.offer.route, now);
    }
    return *std::min_element(freeAfter.begin(), freeAfter.end());
}

std::vector<Duration> WorkQueue::slotsFreeAfter(TimePoint now) const
{
    std::vector<Duration> freeAfter;
    for (const auto &[call, running] : running_) {
        freeAfter.push_back(times_.timeLeft(running, now));
    }
    // On average, half of an external request is assumed to be done.
    const Duration externalTimeLeft = scaled(times_.service().overall(), times_.slowdown().factor() / 2);
    freeAfter.insert(freeAfter.end(), externalRequests_, externalTimeLeft);
    freeAfter.resize(std::max<std::size_t>(freeAfter.size(), limit()), Duration{0});
    std::sort(freeAfter.begin(), freeAfter.end());
    // After the limit was lowered, running calls above it free no slot when they end.
    freeAfter.erase(freeAfter.begin(), freeAfter.begin() + static_cast<std::ptrdiff_t>(freeAfter.size() - limit()));
    return freeAfter;
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

std::vector<CallId> WorkQueue::startQueued(TimePoint now)
{
    std::vector<CallId> started;
    while (hasFreeSlot()) {
        const auto place = nextReady(now);
        if (place == queue_.end()) {
            break;
        }
        start(place->offer, now);
        started.push_back(place->offer.call);
        queue_.erase(place);
    }
    return started;
}

/// Calls that can still meet their target go first, by priority and then by target. The other calls follow, by priority
/// and then with the latest deadline first: calls whose deadline is near would be cut off before they complete.
bool WorkQueue::goesBefore(const WorkOffer &one, const WorkOffer &other, TimePoint now) const
{
    if (!settings_.ordersByUrgency) {
        return false;
    }
    const auto urgency = [this, now](const WorkOffer &offer) {
        const bool missesTarget = times_.isLate(offer, now, now);
        return std::tuple(missesTarget, offer.priority, missesTarget ? now - offer.deadline : offer.target - now);
    };
    return urgency(one) < urgency(other);
}

std::vector<WorkQueue::QueuedCall>::iterator WorkQueue::nextReady(TimePoint now)
{
    auto best = queue_.end();
    for (auto place = queue_.begin(); place != queue_.end(); ++place) {
        // A call that is too late stays queued until expire() returns it with a failure.
        const bool isReady = latestStart(place->offer, now) > now
            && !times_.waitsForSlowPeriodEnd(place->offer.route, now) && !waitsForCoSuspect(place->offer);
        if (isReady && (best == queue_.end() || goesBefore(place->offer, best->offer, now))) {
            best = place;
        }
    }
    return best;
}

Failure WorkQueue::refusal(Reason reason, const WorkOffer &offer, TimePoint now) const
{
    const auto wait = std::max(std::chrono::ceil<Milliseconds>(expectedWait(offer, now)), Milliseconds{1});
    const bool hasPassed = reason == Reason::DeadlinePassed;
    return notRun(
        reason, hasPassed ? "the deadline passed before the request could start" : "no slot before the deadline", wait);
}

void WorkQueue::start(const WorkOffer &offer, TimePoint now)
{
    running_.emplace(offer.call, RunningCall{offer.route, now, times_.slowdown().factor(), offer.disconnectedUpstream});
}

}

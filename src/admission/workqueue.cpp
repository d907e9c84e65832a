#include "admission/workqueue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

constexpr double BaselineSlowdown = 100.0;
/// Four fifths of five slots are four, though not in binary fractions.
constexpr double Rounding = 1e-9;
/// A call that comes late already waits at least so long for a slot: about the time in which one is freed.
constexpr Milliseconds LeastLateWait{60};
/// Running calls beyond this many times their usual time show that the upstream is slow or stands still.
constexpr double OverdueFactor = 2.5;
constexpr double MaxSlowdown = 5000.0;
/// A running call that already took its usual time is taken to need this share of it again.
constexpr double OverdueShare = 0.3;

std::uint16_t slowdownInPercent(double factor)
{
    return static_cast<std::uint16_t>(std::min(BaselineSlowdown * factor, MaxSlowdown));
}

std::uint32_t asMicroseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<Microseconds>(duration).count();
    return static_cast<std::uint32_t>(std::clamp<Microseconds::rep>(count, 0, UINT32_MAX));
}

}

WorkQueue::WorkQueue(WorkQueueSettings settings)
    : settings_(settings)
{
}

std::vector<CallId> WorkQueue::setSlots(std::uint32_t slots, TimePoint now)
{
    slots_ = std::max(slots, 1U);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setSlowdown(std::uint16_t percent, TimePoint now)
{
    slowdown_.record(percent == 0 ? 1.0 : percent / BaselineSlowdown, now);
    return startQueued(now);
}

std::vector<CallId> WorkQueue::setExternalRequests(std::uint32_t others, TimePoint now)
{
    // More than all slots can't be taken, whatever the upstream says.
    others_ = std::min(others, slots_);
    return startQueued(now);
}

std::uint32_t WorkQueue::limit() const
{
    // The largest count that does not exceed the fill beyond which the upstream slows itself.
    return std::max(1U, static_cast<std::uint32_t>(std::floor(settings_.comfortableFill * slots_ + Rounding)));
}

std::optional<Failure> WorkQueue::rejection(const WorkOffer &offer, TimePoint now) const
{
    if (offer.deadline <= now) {
        return refusal(Reason::DeadlinePassed, offer, now);
    }
    const bool mayGoElsewhere = offer.declineThreshold > Duration{0};
    if (mayGoElsewhere && hasCompanion(offer)) {
        return notRun(Reason::Declined, "a request that the same upstream broke off with is here");
    }
    if (mayGoElsewhere && expected(offer, now) > offer.declineThreshold) {
        return notRun(Reason::Declined, "another upstream is thought to be quicker");
    }
    if (startsAtOnce(offer, now)) {
        return std::nullopt;
    }
    const TimePoint begin = now + expectedWait(offer, now);
    if (begin > latestStart(offer, now) || (isLate(offer, begin, now) && !takesLateOnes(begin, now))) {
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
    const Running &running = place->second;
    const WorkDuration work = workDuration(running, now);
    if (answered) {
        times_.record(running.route, work, now);
    } else {
        // Guards against an upstream that answers so late that all its callers have given up: no answer would ever
        // show that it is slow, and it would look idle and get more.
        times_.recordUnfinished(running.route, work, now);
    }
    running_.erase(place);
    return startQueued(now);
}

CancelOutcome WorkQueue::cancel(CallId call)
{
    if (running_.contains(call)) {
        return CancelOutcome::InFlight;
    }
    const auto erased = std::erase_if(queue_, [call](const Waiting &waiting) { return waiting.offer.call == call; });
    return erased > 0 ? CancelOutcome::WasQueued : CancelOutcome::Unknown;
}

std::vector<ExpiredCall> WorkQueue::expire(TimePoint now)
{
    std::vector<ExpiredCall> expired;
    for (auto place = queue_.begin(); place != queue_.end();) {
        if (giveUpTime(*place, now) > now) {
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
    std::optional<TimePoint> next;
    for (const Waiting &waiting : queue_) {
        const TimePoint time = giveUpTime(waiting, now);
        next = next ? std::min(*next, time) : time;
    }
    if (needsSlowdownUpdates(now)) {
        next = std::min(*next, slowdown_.slowPeriodLimit());
    }
    return next;
}

bool WorkQueue::needsSlowdownUpdates(TimePoint now) const
{
    const auto held = [this, now](const Waiting &waiting) { return waitsForSlowPeriodEnd(waiting.offer.route, now); };
    return hasFreeSlot() && std::any_of(queue_.begin(), queue_.end(), held);
}

LoadReport WorkQueue::report(const RouteName &route, TimePoint now) const
{
    LoadReport report;
    report.inFlight = static_cast<std::uint32_t>(atWork());
    report.queued = static_cast<std::uint32_t>(queue_.size());
    report.slots = limit();
    report.serviceTimeMicroseconds = asMicroseconds(times_.baseline(route));
    const double slower = slowness(now);
    report.slowdownPercent = slowdownInPercent(slowdown_.factor() * slower);
    report.recoveredSlowdownPercent = report.slowdownPercent;
    if (waitsForSlowPeriods() && slowdown_.slowPeriodLeft(now) > Duration{0}) {
        report.recoveredSlowdownPercent = slowdownInPercent(slowdown_.afterSlowPeriod(now) * slower);
        report.slowPeriodLeftMicroseconds = asMicroseconds(slowdown_.slowPeriodLeft(now));
    }
    report.meanServiceMicroseconds = asMicroseconds(times_.overall());
    report.failurePercent = static_cast<std::uint8_t>(std::clamp(failureShare_, 0.0, 1.0) * BaselineSlowdown);
    return report;
}

Duration WorkQueue::expected(const WorkOffer &offer, TimePoint now) const
{
    const double failures = 1.0 + settings_.failureFactor * failureShare_;
    return scaled(expectedWait(offer, now) + serviceTime(offer.route, now), failures * slowness(now));
}

bool WorkQueue::startsAtOnce(const WorkOffer &offer, TimePoint now) const
{
    // With a free slot, only calls that await the end of a spell, or a companion, are in the queue.
    return hasFreeSlot() && !waitsForSlowPeriodEnd(offer.route, now) && !awaitsCompanion(offer);
}

bool WorkQueue::areCompanions(const WorkOffer &offer, const UpstreamName &disconnectedUpstream) const
{
    return settings_.separatesCoSuspects && !offer.disconnectedUpstream.value().empty()
        && offer.disconnectedUpstream == disconnectedUpstream;
}

bool WorkQueue::awaitsCompanion(const WorkOffer &offer) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto &item) { return areCompanions(offer, item.second.disconnectedUpstream); });
}

bool WorkQueue::hasCompanion(const WorkOffer &offer) const
{
    const bool waits = std::any_of(queue_.begin(), queue_.end(), [&](const Waiting &waiting) {
        return areCompanions(offer, waiting.offer.disconnectedUpstream);
    });
    return waits || awaitsCompanion(offer);
}

Duration WorkQueue::companionLeft(const WorkOffer &offer, TimePoint now) const
{
    Duration left{0};
    for (const auto &[call, running] : running_) {
        if (areCompanions(offer, running.disconnectedUpstream)) {
            left = std::max(left, timeLeft(running, now));
        }
    }
    return left;
}

bool WorkQueue::waitsForSlowPeriods() const
{
    return settings_.waitsForSlowPeriodEnd && times_.workKeepsItsPace();
}

bool WorkQueue::waitsForSlowPeriodEnd(const RouteName &route, TimePoint now) const
{
    const Duration slowPeriod = slowdown_.slowPeriodLeft(now);
    if (slowPeriod == Duration{0} || !waitsForSlowPeriods()) {
        return false;
    }
    const Duration baseline = times_.baseline(route);
    return slowPeriod + scaled(baseline, slowdown_.afterSlowPeriod(now)) < scaled(baseline, slowdown_.factor());
}

Duration WorkQueue::serviceTime(const RouteName &route, TimePoint now) const
{
    const double slowdown = waitsForSlowPeriodEnd(route, now) ? slowdown_.afterSlowPeriod(now) : slowdown_.factor();
    return scaled(times_.baseline(route), slowdown);
}

WorkDuration WorkQueue::workDuration(const Running &running, TimePoint now) const
{
    return {now - running.start, running.slowdown, slowdown_.baselineTimeBetween(running.start, now)};
}

double WorkQueue::slowness(TimePoint now) const
{
    double underWay = 0.0;
    for (const auto &[call, running] : running_) {
        const Duration baseline = scaled(times_.baseline(running.route), running.slowdown * OverdueFactor);
        underWay += std::max(1.0, std::chrono::duration<double>(now - running.start) / baseline);
    }
    const double mean = running_.empty() ? 1.0 : underWay / static_cast<double>(running_.size());
    return std::max(times_.slowness(now), mean);
}

/// When the upstream would begin a request that comes now: the slots are freed one by one and taken by those before it.
Duration WorkQueue::expectedWait(const WorkOffer &offer, TimePoint now) const
{
    if (startsAtOnce(offer, now)) {
        return Duration{0};
    }
    const Duration slowPeriod = waitsForSlowPeriodEnd(offer.route, now) ? slowdown_.slowPeriodLeft(now) : Duration{0};
    const Duration companion = companionLeft(offer, now);
    std::vector<Duration> freeAfter = slotsFreeAfter(now);
    for (Duration &after : freeAfter) {
        after = std::max({after, slowPeriod, companion});
    }
    for (const Waiting &waiting : queue_) {
        if (goesBefore(offer, waiting.offer, now)) {
            continue;
        }
        const auto soonest = std::min_element(freeAfter.begin(), freeAfter.end());
        *soonest += serviceTime(waiting.offer.route, now);
    }
    return *std::min_element(freeAfter.begin(), freeAfter.end());
}

Duration WorkQueue::timeLeft(const Running &running, TimePoint now) const
{
    const Duration baseline = scaled(times_.baseline(running.route), running.slowdown);
    return std::max(baseline - (now - running.start), scaled(baseline, OverdueShare));
}

std::vector<Duration> WorkQueue::slotsFreeAfter(TimePoint now) const
{
    std::vector<Duration> freeAfter;
    for (const auto &[call, running] : running_) {
        freeAfter.push_back(timeLeft(running, now));
    }
    // Half of it is done, as far as one knows.
    const Duration restOfOther = scaled(times_.overall(), slowdown_.factor() / 2);
    freeAfter.insert(freeAfter.end(), others_, restOfOther);
    freeAfter.resize(std::max<std::size_t>(freeAfter.size(), limit()), Duration{0});
    std::sort(freeAfter.begin(), freeAfter.end());
    // Calls above a limit that was lowered free no slot.
    freeAfter.erase(freeAfter.begin(), freeAfter.begin() + static_cast<std::ptrdiff_t>(freeAfter.size() - limit()));
    return freeAfter;
}

TimePoint WorkQueue::latestStart(const WorkOffer &offer, TimePoint now) const
{
    const Duration needed = scaled(serviceTime(offer.route, now), settings_.leastServiceShare);
    return offer.deadline - std::max<Duration>(needed, settings_.refusalLead);
}

TimePoint WorkQueue::giveUpTime(const Waiting &waiting, TimePoint now) const
{
    const Duration targetLength = std::max(waiting.offer.target - waiting.arrival, Duration{0});
    const TimePoint lateSince = std::max(waiting.offer.target - serviceTime(waiting.offer.route, now), waiting.arrival);
    const Duration patience = std::max(scaled(targetLength, settings_.lateWait), Duration{LeastLateWait});
    return std::min(latestStart(waiting.offer, now), lateSince + patience);
}

bool WorkQueue::isLate(const WorkOffer &offer, TimePoint start, TimePoint now) const
{
    return start + serviceTime(offer.route, now) > offer.target;
}

bool WorkQueue::takesLateOnes(TimePoint start, TimePoint now) const
{
    const auto late = std::count_if(queue_.begin(), queue_.end(), [this, start, now](const Waiting &waiting) {
        return isLate(waiting.offer, start, now);
    });
    return static_cast<double>(late) < settings_.lateBacklog * limit();
}

std::vector<CallId> WorkQueue::startQueued(TimePoint now)
{
    std::vector<CallId> started;
    while (hasFreeSlot()) {
        const auto place = next(now);
        if (place == queue_.end()) {
            break;
        }
        start(place->offer, now);
        started.push_back(place->offer.call);
        queue_.erase(place);
    }
    return started;
}

/// Those that can still meet their target come first, by rank and then by target; then the others, by rank, those with
/// the most time left first: the ones whose deadline is near would be cut before they are done.
bool WorkQueue::goesBefore(const WorkOffer &one, const WorkOffer &other, TimePoint now) const
{
    if (!settings_.ordersByUrgency) {
        return false;
    }
    const auto urgency = [this, now](const WorkOffer &offer) {
        const bool late = isLate(offer, now, now);
        return std::tuple(late, offer.priority, late ? now - offer.deadline : offer.target - now);
    };
    return urgency(one) < urgency(other);
}

std::vector<WorkQueue::Waiting>::iterator WorkQueue::next(TimePoint now)
{
    auto best = queue_.end();
    for (auto place = queue_.begin(); place != queue_.end(); ++place) {
        // One that is too late stays for expire(), which has a failure to give it.
        const bool ready = latestStart(place->offer, now) > now && !waitsForSlowPeriodEnd(place->offer.route, now)
            && !awaitsCompanion(place->offer);
        if (ready && (best == queue_.end() || goesBefore(place->offer, best->offer, now))) {
            best = place;
        }
    }
    return best;
}

Failure WorkQueue::refusal(Reason reason, const WorkOffer &offer, TimePoint now) const
{
    const auto wait = std::max(std::chrono::ceil<Milliseconds>(expectedWait(offer, now)), Milliseconds{1});
    const bool passed = reason == Reason::DeadlinePassed;
    return notRun(reason, passed ? "the deadline passed before the request could start" : "no slot before the deadline",
                  wait);
}

void WorkQueue::start(const WorkOffer &offer, TimePoint now)
{
    running_.emplace(offer.call, Running{offer.route, now, slowdown_.factor(), offer.disconnectedUpstream});
}

}

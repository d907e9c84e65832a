#include "admission/admission.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace Egretpath
{

namespace
{

constexpr double ServiceTimeGain = 0.1;
/// A queued call is given up when less than this share of its usual service time is left to its deadline.
constexpr double LeastServiceShare = 0.5;
/// A call at the upstream is late beyond this many times the smoothed service time.
constexpr double LateFactor = 2.0;

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

Duration fromMicroseconds(double count)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::micro>(count));
}

std::uint32_t shareOf(std::uint32_t count, double share)
{
    return static_cast<std::uint32_t>(std::clamp(std::floor(count * share), 0.0, static_cast<double>(count)));
}

}

bool Admission::EarlierDeadline::operator()(const Waiting &one, const Waiting &other) const
{
    return std::tie(one.deadline, one.call) < std::tie(other.deadline, other.call);
}

Admission::Admission(AdmissionCaps caps, std::unique_ptr<ConcurrencyLimit> limit)
    : caps_(caps)
    , limit_(limit ? std::move(limit) : makeFixedLimit())
{
}

OfferOutcome Admission::offer(CallId call, CallClass callClass, TimePoint deadline, TimePoint now)
{
    if (draining_) {
        return Refused{refusal(Reason::Draining)};
    }
    if (deadline <= now) {
        return Refused{refusal(Reason::DeadlinePassed)};
    }
    if (hasSlotFor(callClass)) {
        start(call, callClass, now);
        return Admitted{};
    }
    const Waiting waiting{call, callClass, deadline};
    const bool inTime = now + expectedWait(callsAheadOf(deadline)) < latestStart(waiting);
    if (!inTime || !hasQueuePlaceFor(callClass)) {
        return Refused{refusal(Reason::Overloaded)};
    }
    places_.emplace(call, queue_.insert(waiting).first);
    queuedUploads_ += callClass == CallClass::Upload ? 1 : 0;
    return Queued{};
}

std::vector<CallId> Admission::finish(CallId call, TimePoint now)
{
    return release(call, now, true);
}

std::vector<CallId> Admission::abandon(CallId call, TimePoint now)
{
    return release(call, now, false);
}

std::vector<CallId> Admission::release(CallId call, TimePoint now, bool answered)
{
    const auto place = running_.find(call);
    if (place == running_.end()) {
        return {};
    }
    const Running running = place->second;
    const Duration time = now - running.start;
    if (answered || time > serviceTime(running.callClass)) {
        recordServiceTime(running.callClass, time);
        limit_->onFinished(time, static_cast<std::uint32_t>(running_.size()));
    }
    running_.erase(place);
    runningUploads_ -= running.callClass == CallClass::Upload ? 1 : 0;
    return startQueued(now);
}

CancelOutcome Admission::cancel(CallId call)
{
    if (running_.contains(call)) {
        return CancelOutcome::InFlight;
    }
    const auto place = places_.find(call);
    if (place == places_.end()) {
        return CancelOutcome::Unknown;
    }
    removeQueued(place->second);
    return CancelOutcome::WasQueued;
}

std::vector<ExpiredCall> Admission::expire(TimePoint now)
{
    std::vector<ExpiredCall> expired;
    for (auto place = queue_.begin(); place != queue_.end();) {
        if (latestStart(*place) > now) {
            ++place;
            continue;
        }
        expired.push_back({place->call, refusal(place->deadline <= now ? Reason::DeadlinePassed : Reason::Overloaded)});
        place = removeQueued(place);
    }
    return expired;
}

std::optional<TimePoint> Admission::nextExpiry() const
{
    std::optional<TimePoint> next;
    for (const Waiting &waiting : queue_) {
        const TimePoint latest = latestStart(waiting);
        next = next ? std::min(*next, latest) : latest;
    }
    return next;
}

std::vector<CallId> Admission::setCaps(const AdmissionCaps &caps, TimePoint now)
{
    caps_ = caps;
    return startQueued(now);
}

LoadReport Admission::report(TimePoint now) const
{
    // Guards against an upstream that stops answering: the smoothed time only knows calls that ended, so a
    // stall would look like the last good moment. The lateness of running calls enters with the weight that it
    // would have if they ended now.
    const double smoothed = microseconds(shortServiceTime());
    double lateness = 0.0;
    for (const auto &[call, running] : running_) {
        if (running.callClass != CallClass::Upload) {
            lateness += std::max(0.0, microseconds(now - running.start) - LateFactor * smoothed);
        }
    }
    const double service = smoothed + (smoothed > 0.0 ? ServiceTimeGain * lateness : 0.0);
    LoadReport report;
    report.inFlight = static_cast<std::uint32_t>(running_.size());
    report.queued = static_cast<std::uint32_t>(queue_.size());
    report.slots = slots();
    report.serviceTimeMicroseconds = static_cast<std::uint32_t>(service);
    report.leaving = draining_;
    return report;
}

Duration Admission::serviceTime(CallClass callClass) const
{
    return fromMicroseconds(serviceMicroseconds_.at(static_cast<std::size_t>(callClass)));
}

std::uint32_t Admission::slots() const
{
    return limit_->limit(caps_.inFlightCap);
}

std::uint32_t Admission::uploadSlots() const
{
    return std::min(slots(), std::max(1U, shareOf(slots(), caps_.uploadShare)));
}

bool Admission::hasSlotFor(CallClass callClass) const
{
    if (running_.size() >= slots()) {
        return false;
    }
    return callClass != CallClass::Upload || runningUploads_ < uploadSlots();
}

bool Admission::hasQueuePlaceFor(CallClass callClass) const
{
    if (queue_.size() >= caps_.queueCap) {
        return false;
    }
    return callClass != CallClass::Upload || queuedUploads_ < shareOf(caps_.queueCap, caps_.uploadShare);
}

Duration Admission::shortServiceTime() const
{
    double longest = 0.0;
    for (const CallClass callClass : {CallClass::Lookup, CallClass::Internal, CallClass::Write}) {
        longest = std::max(longest, microseconds(serviceTime(callClass)));
    }
    return longest > 0.0 ? fromMicroseconds(longest) : serviceTime(CallClass::Upload);
}

Duration Admission::expectedWait(std::size_t callsAhead) const
{
    const double rounds = static_cast<double>(callsAhead + 1) / std::max(slots(), 1U);
    return fromMicroseconds(rounds * microseconds(shortServiceTime()));
}

std::size_t Admission::callsAheadOf(TimePoint deadline) const
{
    const auto sooner = [&](const Waiting &waiting) { return waiting.deadline <= deadline; };
    return static_cast<std::size_t>(std::count_if(queue_.begin(), queue_.end(), sooner));
}

TimePoint Admission::latestStart(const Waiting &waiting) const
{
    return waiting.deadline - fromMicroseconds(LeastServiceShare * microseconds(serviceTime(waiting.callClass)));
}

Failure Admission::refusal(Reason reason) const
{
    const auto retryAfter = std::chrono::ceil<Milliseconds>(expectedWait(queue_.size()));
    switch (reason) {
    case Reason::Draining:
        return notRun(reason, "the upstream is leaving");
    case Reason::DeadlinePassed:
        return notRun(reason, "the deadline passed before the call could start");
    default:
        return notRun(reason, "no slot before the deadline", std::max(retryAfter, Milliseconds{1}));
    }
}

void Admission::recordServiceTime(CallClass callClass, Duration time)
{
    double &average = serviceMicroseconds_.at(static_cast<std::size_t>(callClass));
    average += (average > 0.0 ? ServiceTimeGain : 1.0) * (microseconds(time) - average);
}

void Admission::start(CallId call, CallClass callClass, TimePoint now)
{
    running_.emplace(call, Running{callClass, now});
    runningUploads_ += callClass == CallClass::Upload ? 1 : 0;
}

std::vector<CallId> Admission::startQueued(TimePoint now)
{
    std::vector<CallId> started;
    for (auto place = queue_.begin(); place != queue_.end() && running_.size() < slots();) {
        // A call that is too late stays for expire(), which has a failure to give it.
        if (!hasSlotFor(place->callClass) || latestStart(*place) <= now) {
            ++place;
            continue;
        }
        start(place->call, place->callClass, now);
        started.push_back(place->call);
        place = removeQueued(place);
    }
    return started;
}

Admission::Queue::iterator Admission::removeQueued(Queue::iterator place)
{
    queuedUploads_ -= place->callClass == CallClass::Upload ? 1 : 0;
    places_.erase(place->call);
    return queue_.erase(place);
}

}

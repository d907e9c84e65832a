#include "admission/upstreamslots.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// Added before limit() rounds down: four fifths of five slots are four, but binary fractions may yield slightly less.
constexpr double RoundingTolerance = 1e-9;

}

bool areCoSuspects(const WorkOffer &offer, const UpstreamName &disconnectedUpstream)
{
    return !offer.disconnectedUpstream.value().empty() && offer.disconnectedUpstream == disconnectedUpstream;
}

void UpstreamSlots::setSlots(std::uint32_t slots)
{
    slots_ = std::clamp(slots, 1U, MaxUsableSlots);
}

void UpstreamSlots::setExternalRequests(std::uint32_t requests)
{
    // External requests can't occupy more than all slots, whatever the upstream reports.
    externalRequests_ = std::min(requests, slots_);
}

void UpstreamSlots::start(CallId call, RunningCall running)
{
    running.isAboveLimit = !hasFree();
    running_.emplace(call, std::move(running));
}

std::uint32_t UpstreamSlots::limit() const
{
    // The largest number of calls that does not exceed the fill level at which the upstream slows itself down.
    return std::max(1U, static_cast<std::uint32_t>(std::floor(maxFill_ * slots_ + RoundingTolerance)));
}

bool UpstreamSlots::runsLowerPriority(std::uint8_t priority) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [priority](const auto &item) { return item.second.priority > priority; });
}

bool UpstreamSlots::admitsAboveLimit(std::uint8_t priority) const
{
    return startsAboveLimit_ && runsLowerPriority(priority);
}

bool UpstreamSlots::startedAboveLimit(CallId call) const
{
    const auto found = running_.find(call);
    return found != running_.end() && found->second.isAboveLimit;
}

bool UpstreamSlots::runsCoSuspect(const WorkOffer &offer) const
{
    return std::any_of(running_.begin(), running_.end(),
                       [&](const auto &item) { return areCoSuspects(offer, item.second.disconnectedUpstream); });
}

Duration UpstreamSlots::coSuspectTimeLeft(const WorkOffer &offer, const WorkTimes &times, TimePoint now) const
{
    Duration left{0};
    for (const auto &[call, running] : running_) {
        if (areCoSuspects(offer, running.disconnectedUpstream)) {
            left = std::max(left, times.timeLeft(running, now));
        }
    }
    return left;
}

std::vector<Duration> UpstreamSlots::freeAfter(bool countsAll, const WorkTimes &times, TimePoint now) const
{
    const std::size_t usable = countsAll ? slots_ : limit();
    std::vector<Duration> result;
    for (const auto &[call, running] : running_) {
        result.push_back(times.timeLeft(running, now));
    }
    // On average, half of an external request is assumed to be done.
    const Duration externalTimeLeft = scaled(times.service().overall(), times.slowdown().factor() / 2);
    result.insert(result.end(), externalRequests_, externalTimeLeft);
    result.resize(std::max(result.size(), usable), Duration{0});
    std::sort(result.begin(), result.end());
    // Running calls above the limit, which may have been lowered, free no slot for calls that may not start there.
    result.erase(result.begin(), result.begin() + static_cast<std::ptrdiff_t>(result.size() - usable));
    return result;
}

}

#include "sidecar/plannedstop.h"

#include <algorithm>
#include <array>

namespace Egretpath
{

namespace
{

/// The platform stops sending callers to a node only after two readiness checks, a second apart, have failed.
constexpr Milliseconds MinStopTime{2400};
/// When no request was under way for this long, the node assumes that no caller sends anything more. An upstream that
/// still runs next to the node goes on sending calls, so that a longer quiet time may never come.
constexpr Milliseconds QuietTime{120};
/// An answer passes through the event loop between the end of its request and its first byte on the connection.
constexpr Milliseconds SettleTime{50};
/// The process exits by itself this long before the end of the grace time. SIGKILL at its end would cut off what the
/// process still writes.
constexpr Milliseconds MaxExitMargin{250};
/// The time for answers and refusals that are written when no time is left.
constexpr Milliseconds MaxExpiryTime{100};
/// How long other nodes have to leave: calls that are on their way are still refused in this time. Several times the
/// way between two regions.
constexpr Milliseconds MaxLeaveTime{100};
/// With a short grace time, these times are no larger parts of it, so that most of it is left for requests.
constexpr int ExitMarginParts = 8;
constexpr int ExpiryParts = 24;

StopPhase next(StopPhase phase)
{
    return static_cast<StopPhase>(static_cast<std::uint8_t>(phase) + 1);
}

}

std::string_view toString(StopPhase phase)
{
    constexpr std::array<std::string_view, 6> Words{"serving", "draining", "closing", "expiring", "leaving", "ended"};
    return Words.at(static_cast<std::size_t>(phase));
}

PlannedStop::PlannedStop(TimePoint startedAt, Duration grace)
    : leaveTime_(std::min<Duration>(MaxLeaveTime, grace / ExpiryParts))
    , end_(startedAt + grace - std::min<Duration>(MaxExitMargin, grace / ExitMarginParts))
    // With a short grace time, half of it is left for the requests that the egress has taken on.
    , drainAt_(startedAt + std::min<Duration>(MinStopTime, (end_ - startedAt) / 2))
    , closeAt_(startedAt + MinStopTime)
    , expireAt_(end_ - leaveTime_ - std::min<Duration>(MaxExpiryTime, grace / ExpiryParts))
    , leaveAt_(end_ - leaveTime_)
    , phaseBegan_(startedAt)
    , lastBusy_(startedAt)
    , lastUnsettled_(startedAt)
{
}

bool PlannedStop::advance(TimePoint now, const StopActivity &activity)
{
    if (activity.hasRequests) {
        lastBusy_ = now;
    }
    if (activity.hasRequests || activity.hasCallerConnections || activity.hasUnsentAnswers) {
        lastUnsettled_ = now;
    }
    if (!isOver(now)) {
        return false;
    }
    phase_ = next(phase_);
    phaseBegan_ = now;
    return true;
}

bool PlannedStop::isOver(TimePoint now) const
{
    switch (phase_) {
    case StopPhase::Serving:
        return now >= drainAt_;
    case StopPhase::Draining:
        return now >= expireAt_ || (now >= closeAt_ && now - lastBusy_ >= QuietTime);
    case StopPhase::Closing:
        return now >= expireAt_ || now - lastUnsettled_ >= SettleTime;
    case StopPhase::Expiring:
        return now >= leaveAt_ || now - lastUnsettled_ >= SettleTime;
    case StopPhase::Leaving:
        return now >= end_ || now - phaseBegan_ >= leaveTime_;
    case StopPhase::Ended:
        break;
    }
    return false;
}

}

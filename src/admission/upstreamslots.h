#pragma once

#include <cstdint>
#include <vector>

#include "admission/offeroutcome.h"
#include "admission/worktimes.h"
#include "core/clock.h"

namespace Egretpath
{

/// The most slots that are counted of an upstream. No node has descriptors for more connections, and forecasts look at
/// each slot.
inline constexpr std::uint32_t MaxUsableSlots = 8192;

/// Whether @p offer and a call with @p disconnectedUpstream are co-suspects, which WorkQueue describes.
[[nodiscard]] bool areCoSuspects(const WorkOffer &offer, const UpstreamName &disconnectedUpstream);

/// Tracks which of the upstream's slots are in use, and decides which requests may take a free one.
///
/// Load pattern: urgent requests beside longer, less urgent ones. The slots above limit() are left free, because a
/// nearly full upstream slows itself down, by up to 1.7 times. For an urgent request that costs less than the wait for
/// one of the longer requests may. So requests may start above limit() while a request of lower priority runs. With one
/// priority, none starts there.
///
/// External requests are those that the upstream runs for a process that has ended or for callers that have
/// disconnected. They use slots like running calls and have no priority.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamSlots
{
public:
    /// @p maxFill: share of the slots up to which the upstream is filled, above 0 and at most 1. @p startsAboveLimit:
    /// whether urgent requests may start above limit().
    UpstreamSlots(double maxFill, bool startsAboveLimit)
        : maxFill_(maxFill)
        , startsAboveLimit_(startsAboveLimit)
    {
    }

    /// Sets the number of slots, of which at most MaxUsableSlots count.
    void setSlots(std::uint32_t slots);
    void setExternalRequests(std::uint32_t requests);
    /// Adds @p running, which starts now. Precondition: @p call is not running.
    void start(CallId call, RunningCall running);
    /// Precondition: @p call is running.
    void finish(CallId call) { running_.erase(call); }

    [[nodiscard]] const RunningCalls &running() const { return running_; }
    [[nodiscard]] std::uint32_t externalRequests() const { return externalRequests_; }
    /// Number of slots in use, external requests included.
    [[nodiscard]] std::size_t occupied() const { return running_.size() + externalRequests_; }
    /// Number of slots up to which requests start, whatever their priority.
    [[nodiscard]] std::uint32_t limit() const;
    [[nodiscard]] bool hasFree() const { return occupied() < limit(); }
    /// Whether a slot above limit() is free.
    [[nodiscard]] bool hasFreeAboveLimit() const { return startsAboveLimit_ && occupied() < slots_; }
    /// Whether requests of @p priority may start above limit() if a slot is free there.
    [[nodiscard]] bool admitsAboveLimit(std::uint8_t priority) const;
    /// Whether a request of lower priority than @p priority runs.
    [[nodiscard]] bool runsLowerPriority(std::uint8_t priority) const;
    /// Whether @p call is running and started above limit().
    [[nodiscard]] bool startedAboveLimit(CallId call) const;
    /// Whether a co-suspect of @p offer is running.
    [[nodiscard]] bool runsCoSuspect(const WorkOffer &offer) const;
    /// Expected time until the running co-suspects of @p offer end; zero if there are none.
    [[nodiscard]] Duration coSuspectTimeLeft(const WorkOffer &offer, const WorkTimes &times, TimePoint now) const;
    /// The times until each slot up to limit() is free, shortest first; up to all slots if @p countsAll. At least one.
    [[nodiscard]] std::vector<Duration> freeAfter(bool countsAll, const WorkTimes &times, TimePoint now) const;

private:
    double maxFill_;
    bool startsAboveLimit_;
    std::uint32_t slots_ = 1;
    std::uint32_t externalRequests_ = 0;
    RunningCalls running_;
};

}

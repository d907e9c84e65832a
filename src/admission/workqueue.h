#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "admission/offeroutcome.h"
#include "admission/workoffer.h"
#include "admission/worktimes.h"
#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Tuning constants of WorkQueue.
struct WorkQueueSettings
{
    /// Share of its slots up to which an upstream is filled. A nearly full upstream slows itself down and completes
    /// fewer requests than with a slot or two free.
    double maxFill = 0.8;
    /// A call is refused, or given up while queued, if the time left before its deadline is less than this share of its
    /// duration at the VM's current slowdown. Work that is cut off at its deadline occupies a slot for nothing.
    double minServiceShare = 0.9;
    /// Time that a refusal needs to reach the sender. A refusal that arrives after the deadline can't tell the sender
    /// that nothing ran.
    Milliseconds refusalLead{25};
    /// Maximum number of queued calls that miss their target, as a share of limit(). Further such calls are refused
    /// at once: during an overload they would wait behind all calls that can still be in time, and would be refused
    /// only at their deadline.
    double maxLateBacklog = 1.0;
    /// How long a call stays queued after it can no longer meet its target, as a share of the time from its arrival to
    /// its target. After that it is refused.
    double maxLateWait = 0.5;
    /// Whether calls start after a slow period of the VM if that is quicker; else they start at once.
    bool waitsForSlowPeriodEnd = true;
    /// Whether calls start in the order of goesBefore(); else they start in order of arrival.
    bool ordersByUrgency = true;
    /// Whether co-suspects, which WorkQueue describes, are kept from running at the same time.
    bool separatesCoSuspects = true;
    /// A request's expected time is multiplied by 1 + failureFactor * (failure share of the upstream's recent answers),
    /// because the sender of a request that fails has to retry it on another upstream or loses it.
    double failureFactor = 4.0;
};

/// Decides at the egress which requests the upstream runs, which are queued and in which order, and which are declined
/// or refused.
///
/// Load pattern: bursts of one and a half to twice the usual load for seconds, on VMs that become four times slower for
/// some tenths of a second at a time. Requests wait in this queue and not at the upstream, whose queue can neither be
/// reordered nor cancelled. The upstream is kept below the fill level at which it slows itself down. Calls that can
/// still meet their target start first, by priority; calls that can only meet their deadline follow.
///
/// During a slow period of the VM, a request is delayed until the period ends if the rest of the period and the
/// baseline duration together are shorter than the duration at the current slowdown. If it started at once, it would
/// keep the slowdown until it ends and occupy its slot several times as long.
///
/// Co-suspects are requests that were running when the same upstream disconnected. Only one of them runs on this
/// upstream at a time. Otherwise an unrelated request could run together with the request that crashed the first
/// upstream; the next upstream would crash too, and both requests would be suspected.
///
/// Each offered call ends exactly once: by Refused, by an ExpiredCall, by cancel() while queued, or by finish(). Call
/// expire() and then resume() after each event, and at nextExpiry().
///
/// Thread safety: none; one owner.
class WorkQueue
{
public:
    explicit WorkQueue(WorkQueueSettings settings = {});

    /// Sets the number of requests that the upstream can run at the same time. Returns as setSlowdown() does.
    [[nodiscard]] std::vector<CallId> setSlots(std::uint32_t slots, TimePoint now);
    /// Sets the VM's slowdown: how long work takes now, in percent of the baseline. Returns the queued calls that start
    /// now, in order.
    [[nodiscard]] std::vector<CallId> setSlowdown(std::uint16_t percent, TimePoint now);
    /// Sets the number of external requests: those that the upstream runs for a process that has ended or for callers
    /// that have disconnected. Returns as setSlowdown() does.
    [[nodiscard]] std::vector<CallId> setExternalRequests(std::uint32_t requests, TimePoint now);
    /// Sets the share of the upstream's recent answers that were failures, 0 to 1.
    void setFailureShare(double share) { failureShare_ = share; }

    /// Decides on a request that arrives. Precondition: its call was not offered before. Errors: Refused carries
    /// NotRun, either with Overloaded or DeadlinePassed and the time after which to retry, or with Declined.
    [[nodiscard]] OfferOutcome offer(const WorkOffer &offer, TimePoint now);
    /// The failure with which offer() would refuse @p offer now; nothing if offer() would accept it. Changes no state.
    [[nodiscard]] std::optional<Failure> rejection(const WorkOffer &offer, TimePoint now) const;
    /// The upstream has finished with @p call. If @p answered, its duration is recorded as a service time; else it is
    /// recorded as the least that the full duration would have been. Returns the queued calls that start now, in order.
    [[nodiscard]] std::vector<CallId> finish(CallId call, bool answered, TimePoint now);
    CancelOutcome cancel(CallId call);
    /// Removes and returns the queued calls that can no longer meet their deadline, or have waited longer than
    /// maxLateWait allows. These calls never ran.
    [[nodiscard]] std::vector<ExpiredCall> expire(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextExpiry(TimePoint now) const;
    /// Starts the queued calls that no longer have to wait for the end of a slow period. Returns them in order.
    [[nodiscard]] std::vector<CallId> resume(TimePoint now) { return startQueued(now); }
    /// Whether a slot is free while a call waits for the end of the VM's slow period, so that updates of the slowdown
    /// are needed.
    [[nodiscard]] bool needsSlowdownUpdates(TimePoint now) const;
    /// Whether a call is queued while the upstream runs external requests, so that updates of their number are needed.
    [[nodiscard]] bool needsExternalLoadUpdates() const { return externalRequests_ > 0 && !queue_.empty(); }

    /// The load report for the sender of a request of @p route.
    [[nodiscard]] LoadReport report(const RouteName &route, TimePoint now) const;
    /// Expected time from @p now to the answer of @p offer if it arrives now, behind the queued calls that go before
    /// it.
    [[nodiscard]] Duration expected(const WorkOffer &offer, TimePoint now) const;

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] bool isIdle() const { return running_.empty() && queue_.empty(); }
    /// Maximum number of requests that run at the upstream at the same time.
    [[nodiscard]] std::uint32_t limit() const;

private:
    struct QueuedCall
    {
        WorkOffer offer;
        TimePoint arrival;
    };

    /// Number of slots in use, external requests included.
    [[nodiscard]] std::size_t occupiedSlots() const { return running_.size() + externalRequests_; }
    [[nodiscard]] bool hasFreeSlot() const { return occupiedSlots() < limit(); }
    /// Whether @p offer and a call with @p disconnectedUpstream were running when the same upstream disconnected.
    [[nodiscard]] bool areCoSuspects(const WorkOffer &offer, const UpstreamName &disconnectedUpstream) const;
    /// Whether @p offer has to wait until a running co-suspect ends.
    [[nodiscard]] bool waitsForCoSuspect(const WorkOffer &offer) const;
    /// Whether a co-suspect of @p offer runs or is queued here.
    [[nodiscard]] bool hasCoSuspect(const WorkOffer &offer) const;
    /// Expected time until the running co-suspects of @p offer end.
    [[nodiscard]] Duration coSuspectTimeLeft(const WorkOffer &offer, TimePoint now) const;
    /// The times until each slot can take the next call, shortest first.
    [[nodiscard]] std::vector<Duration> slotsFreeAfter(TimePoint now) const;
    /// Whether @p offer would start at once if it arrived now.
    [[nodiscard]] bool startsAtOnce(const WorkOffer &offer, TimePoint now) const;
    /// How long @p offer would wait before it starts.
    [[nodiscard]] Duration expectedWait(const WorkOffer &offer, TimePoint now) const;
    [[nodiscard]] bool goesBefore(const WorkOffer &one, const WorkOffer &other, TimePoint now) const;
    [[nodiscard]] TimePoint latestStart(const WorkOffer &offer, TimePoint now) const;
    /// When a queued call is refused by expire().
    [[nodiscard]] TimePoint expiryTime(const QueuedCall &queuedCall, TimePoint now) const;
    /// Whether one more call may be queued that will miss its target if it starts at @p start.
    [[nodiscard]] bool hasRoomForLateCall(TimePoint start, TimePoint now) const;
    [[nodiscard]] std::vector<CallId> startQueued(TimePoint now);
    [[nodiscard]] std::vector<QueuedCall>::iterator nextReady(TimePoint now);
    [[nodiscard]] Failure refusal(Reason reason, const WorkOffer &offer, TimePoint now) const;
    void start(const WorkOffer &offer, TimePoint now);

    WorkQueueSettings settings_;
    WorkTimes times_;
    RunningCalls running_;
    /// In order of arrival. There are a few dozen at most, so each decision scans all of them.
    std::vector<QueuedCall> queue_;
    std::uint32_t slots_ = 1;
    std::uint32_t externalRequests_ = 0;
    double failureShare_ = 0.0;
};

}

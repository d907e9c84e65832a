#pragma once

#include <cstdint>
#include <optional>
#include <tuple>
#include <vector>

#include "admission/offeroutcome.h"
#include "admission/priorityfloor.h"
#include "admission/upstreamslots.h"
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
    /// Whether calls start by urgency and priority; else they start in order of arrival.
    bool ordersByUrgency = true;
    /// Whether urgent calls may start above limit(), as WorkQueue describes.
    bool startsAboveLimit = true;
    /// Whether a call may take the place of a queued call of lower priority, as WorkQueue describes.
    bool displacesLowerPriority = true;
    /// Whether PriorityFloor reserves starts for the lowest waiting priority.
    bool keepsPriorityFloor = true;
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
/// Some of the load is more urgent than the rest: during an overload, a check of 36 ms with a target of 100 ms is late
/// if it waits until a longer call ends. While a call of lower priority runs, a call may start in the slots above
/// limit() if it would otherwise miss its target and meets it even if the nearly full upstream slows it down. Calls
/// that would be in time anyway, or late anyway, don't start there: the slowdown would cost all calls capacity for
/// nothing. A call that is refused only because the backlog of late calls is full takes the place of a late queued call
/// of lower priority, which is refused; running calls are never displaced. PriorityFloor keeps the lowest waiting
/// priority from being starved; while its turn is due, no call of higher priority starts above limit(). With one
/// priority, none of this has an effect.
///
/// During a slow period of the VM, a request is delayed until the period ends if the rest of the period and the
/// baseline duration together are shorter than the duration at the current slowdown. If it started at once, it would
/// keep the slowdown until it ends and occupy its slot several times as long.
///
/// Co-suspects are requests that were running when the same upstream disconnected. Only one of them runs on this
/// upstream at a time. Otherwise an unrelated request could run together with the request that crashed the first
/// upstream; the next upstream would crash too, and both requests would be suspected.
///
/// Each offered call ends exactly once: by Refused, by an ExpiredCall of expire() or of Queued, by cancel() while
/// queued, or by finish(). Call expire() and then resume() after each event, and at nextExpiry().
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
    /// Whether @p call runs and started above limit().
    [[nodiscard]] bool startedAboveLimit(CallId call) const { return slots_.startedAboveLimit(call); }
    /// Whether a slot is free while a call waits for the end of the VM's slow period, so that updates of the slowdown
    /// are needed.
    [[nodiscard]] bool needsSlowdownUpdates(TimePoint now) const;
    /// Whether a call is queued while the upstream runs external requests, so that updates of their number are needed.
    [[nodiscard]] bool needsExternalLoadUpdates() const { return slots_.externalRequests() > 0 && !queue_.empty(); }

    /// The priority at this upstream of a request of @p route that its sender gave @p priority. @p isDependent: another
    /// upstream's own work waits for the answer.
    ///
    /// Load pattern: a service is short of capacity because of long requests of the highest priority, and the short
    /// calls of another service's requests are refused. The work that waits for them is then lost, at several times the
    /// time that a call takes here. So a dependent call whose work is short here counts as most urgent.
    [[nodiscard]] std::uint8_t localPriority(const RouteName &route, std::uint8_t priority, bool isDependent) const;
    /// The load report for the sender of a request of @p route.
    [[nodiscard]] LoadReport report(const RouteName &route, TimePoint now) const;
    /// Expected time from @p now to the answer of @p offer if it arrives now, behind the queued calls that go before
    /// it.
    [[nodiscard]] Duration expected(const WorkOffer &offer, TimePoint now) const;

    [[nodiscard]] std::size_t running() const { return slots_.running().size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] bool isIdle() const { return slots_.running().empty() && queue_.empty(); }
    /// Maximum number of requests that run at the upstream at the same time, apart from those that may start above it.
    [[nodiscard]] std::uint32_t limit() const { return slots_.limit(); }

private:
    struct QueuedCall
    {
        WorkOffer offer;
        TimePoint arrival;
    };

    using QueuedCalls = std::vector<QueuedCall>;

    struct Decision
    {
        /// Why the call is refused; nothing if it is not.
        std::optional<Failure> failure = std::nullopt;
        bool startsAtOnce = false;
        /// The queued call whose place it takes.
        std::optional<QueuedCalls::const_iterator> displaced = std::nullopt;
    };

    /// Calls that can still meet their target go first, by priority and then by target. The other calls follow, by
    /// priority and then with the latest deadline first: calls whose deadline is near would be cut off before they
    /// complete. The smallest value goes first.
    using Urgency = std::tuple<bool, std::uint8_t, Duration>;

    struct Forecast
    {
        /// Time until the call starts.
        Duration wait{0};
        bool startsAtOnce = false;
    };

    [[nodiscard]] Decision decide(const WorkOffer &offer, TimePoint now) const;
    /// The lowest priority, the highest number, of the queued calls; 0 if there are none.
    [[nodiscard]] std::uint8_t lowestQueuedPriority() const;
    /// Whether @p offer has to wait until a running co-suspect ends.
    [[nodiscard]] bool waitsForCoSuspect(const WorkOffer &offer) const;
    /// Whether a co-suspect of @p offer runs or is queued here.
    [[nodiscard]] bool hasCoSuspect(const WorkOffer &offer) const;
    /// How long @p offer would wait for a slot up to limit(), or for any slot if @p countsAll, if it may start after
    /// @p earliest.
    [[nodiscard]] Duration slotWait(const WorkOffer &offer, bool countsAll, Duration earliest, TimePoint now) const;
    /// Whether @p offer may start above limit() if a slot is free there: it would miss its target after @p wait, but
    /// meets it if it starts now.
    [[nodiscard]] bool needsSlotAboveLimit(const WorkOffer &offer, Duration wait, TimePoint now) const;
    /// How long a call of priority 0 that can meet its target would wait for a slot.
    [[nodiscard]] Duration urgentWait(TimePoint now) const;
    /// When @p offer would start if it arrived now.
    [[nodiscard]] Forecast forecast(const WorkOffer &offer, TimePoint now) const;
    /// As expected(), if @p offer starts after @p wait.
    [[nodiscard]] Duration expectedAfter(Duration wait, const WorkOffer &offer, TimePoint now) const;
    /// The same for all calls if calls start in order of arrival.
    [[nodiscard]] Urgency urgency(const WorkOffer &offer, TimePoint now) const;
    [[nodiscard]] TimePoint latestStart(const WorkOffer &offer, TimePoint now) const;
    /// When a queued call is refused by expire().
    [[nodiscard]] TimePoint expiryTime(const QueuedCall &queuedCall, TimePoint now) const;
    /// Whether one more call may be queued that will miss its target if it starts at @p start.
    [[nodiscard]] bool hasRoomForLateCall(TimePoint start, TimePoint now) const;
    /// The queued call of lower priority whose place in the late backlog @p offer may take if it starts at @p start;
    /// the end of the queue if there is none.
    [[nodiscard]] QueuedCalls::const_iterator displaceable(const WorkOffer &offer, TimePoint start,
                                                           TimePoint now) const;
    [[nodiscard]] std::vector<CallId> startQueued(TimePoint now);
    /// Whether a call with @p offer could start now if a slot were free.
    [[nodiscard]] bool isReady(const WorkOffer &offer, TimePoint now) const;
    /// The queued call that starts next; the end of the queue if none can start.
    [[nodiscard]] QueuedCalls::const_iterator nextReady(TimePoint now) const;
    [[nodiscard]] Failure refusal(Reason reason, const WorkOffer &offer, TimePoint now) const;
    void start(const WorkOffer &offer, TimePoint now);

    WorkQueueSettings settings_;
    WorkTimes times_;
    UpstreamSlots slots_;
    /// In order of arrival. There are a few dozen at most, so each decision scans all of them.
    QueuedCalls queue_;
    PriorityFloor floor_;
    double failureShare_ = 0.0;
};

}

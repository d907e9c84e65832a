#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "admission/offeroutcome.h"
#include "admission/servicetimes.h"
#include "admission/vmslowdown.h"
#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// A request that asks for a slot of the upstream.
struct WorkOffer
{
    CallId call;
    RouteName route;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    TimePoint deadline;
    /// Later than this an answer is worth little.
    TimePoint target;
    /// It goes elsewhere if it is expected to take longer here; zero: it stays if its deadline can be met.
    Duration declineThreshold{0};
    /// The upstream that broke off while it ran the request before; empty: none did.
    UpstreamName disconnectedUpstream;
};

/// Constants of WorkQueue.
struct WorkQueueSettings
{
    /// Share of its slots up to which an upstream is filled. One that is nearly full slows itself, and then finishes
    /// less than with a slot or two free.
    double comfortableFill = 0.8;
    /// A call is refused, or given up while it waits, when less than this share of the time that it takes at the VM's
    /// present pace would be left: work that is cut at its deadline takes a slot for nothing.
    double leastServiceShare = 0.9;
    /// The answer to a refusal has to reach the sender before the deadline; else it can't say that nothing ran.
    Milliseconds refusalLead{25};
    /// Calls that have missed their target and still wait, as a share of the limit. Beyond it they are refused at once:
    /// while the load lasts they would wait behind all that can still be in time, and hear of it only at their
    /// deadline.
    double lateBacklog = 1.0;
    /// A call that has missed its target is refused when it has waited this share of its target's length besides.
    double lateWait = 0.5;
    /// Calls begin after a slow spell of the VM where that is quicker; else at once.
    bool waitsForSlowPeriodEnd = true;
    /// Calls begin in the order of goesBefore(); else in that of their arrival.
    bool ordersByUrgency = true;
    /// Requests that another upstream broke off with are not run together.
    bool separatesCoSuspects = true;
    /// A failure is told as if work took so many times longer: its sender has to begin again elsewhere, or loses it.
    double failureFactor = 4.0;
};

/// Decides at the egress which requests the upstream works on, which wait and in which order, and which go elsewhere.
///
/// The load that it answers: bursts of one and a half to twice the usual for seconds, on VMs that turn four times
/// slower for some tenths of a second at a time. Requests wait here and not at the upstream, whose queue can be neither
/// ordered nor taken back; the upstream is kept below the fill from which it slows itself. First come those that can
/// still meet their target, by rank, then those that can meet their deadline.
///
/// While the VM is in a slow spell a request that would take longer than the rest of the spell and its usual time
/// together begins after the spell. Begun at once it would keep the slow pace, and its slot several times as long, to
/// its end.
///
/// Companions are requests that the same upstream broke off with; one of them at a time goes to this one. Else a
/// bystander goes with the request that ended that upstream to the next one, which ends as well, and is accused with
/// it.
///
/// Each offered call ends exactly once: by Refused, by an ExpiredCall, by cancel() out of the queue, or by finish().
/// Thread safety: none; one owner. Call expire() and then resume() after each event, and at nextExpiry().
class WorkQueue
{
public:
    explicit WorkQueue(WorkQueueSettings settings = {});

    /// Requests that the upstream works on at the same time.
    [[nodiscard]] std::vector<CallId> setSlots(std::uint32_t slots, TimePoint now);
    /// How long work takes on the VM now, in percent of the usual. Returns the queued calls that go to the upstream
    /// now, in this order.
    [[nodiscard]] std::vector<CallId> setSlowdown(std::uint16_t percent, TimePoint now);
    /// The upstream works on @p others besides, for a process that ended or callers that left. Returns as setSlots().
    [[nodiscard]] std::vector<CallId> setExternalRequests(std::uint32_t others, TimePoint now);
    /// A share of the upstream's answers that were failures lately, 0 to 1.
    void setFailureShare(double share) { failureShare_ = share; }

    /// A request arrives. Precondition: its call was not offered before. Errors: Refused carries NotRun with Overloaded
    /// or DeadlinePassed and when to come back, or with Declined.
    [[nodiscard]] OfferOutcome offer(const WorkOffer &offer, TimePoint now);
    /// Why offer() would refuse @p offer now; nothing if it would take it. Changes nothing.
    [[nodiscard]] std::optional<Failure> rejection(const WorkOffer &offer, TimePoint now) const;
    /// The upstream is rid of @p call. @p answered: its duration tells the service time; else it would have been
    /// longer. Returns the queued calls that go to the upstream now, in this order.
    [[nodiscard]] std::vector<CallId> finish(CallId call, bool answered, TimePoint now);
    CancelOutcome cancel(CallId call);
    /// Removes and returns the queued calls that can no longer meet their deadline. They provably did not run.
    [[nodiscard]] std::vector<ExpiredCall> expire(TimePoint now);
    [[nodiscard]] std::optional<TimePoint> nextExpiry(TimePoint now) const;
    /// Starts queued calls that waited for the end of a slow spell and need not any more, in this order.
    [[nodiscard]] std::vector<CallId> resume(TimePoint now) { return startQueued(now); }
    /// Whether a slot is free and a call waits for the end of the VM's slow spell, so that news of its pace matter.
    [[nodiscard]] bool needsSlowdownUpdates(TimePoint now) const;
    /// Whether a call waits for work that is not from here, so that news of that matter.
    [[nodiscard]] bool needsExternalLoadUpdates() const { return others_ > 0 && !queue_.empty(); }

    /// What to tell the sender of a request of @p route.
    [[nodiscard]] LoadReport report(const RouteName &route, TimePoint now) const;
    /// From now to the answer of @p offer if it comes now, behind those that wait and go before it.
    [[nodiscard]] Duration expected(const WorkOffer &offer, TimePoint now) const;

    [[nodiscard]] std::size_t running() const { return running_.size(); }
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }
    [[nodiscard]] bool isIdle() const { return running_.empty() && queue_.empty(); }
    /// Requests handed to the upstream at most.
    [[nodiscard]] std::uint32_t limit() const;

private:
    struct Running
    {
        RouteName route;
        TimePoint start;
        /// The VM's at the start.
        double slowdown = 1.0;
        UpstreamName disconnectedUpstream;
    };

    struct Waiting
    {
        WorkOffer offer;
        TimePoint arrival;
    };

    /// Calls that take a slot, those from elsewhere included.
    [[nodiscard]] std::size_t atWork() const { return running_.size() + others_; }
    [[nodiscard]] bool hasFreeSlot() const { return atWork() < limit(); }
    /// Whether another upstream broke off with both.
    [[nodiscard]] bool areCompanions(const WorkOffer &offer, const UpstreamName &disconnectedUpstream) const;
    /// Whether @p offer has to wait until a companion is done.
    [[nodiscard]] bool awaitsCompanion(const WorkOffer &offer) const;
    /// Whether a companion of @p offer runs or waits here.
    [[nodiscard]] bool hasCompanion(const WorkOffer &offer) const;
    /// Until the companion of @p offer that runs is done.
    [[nodiscard]] Duration companionLeft(const WorkOffer &offer, TimePoint now) const;
    /// Until @p running is done, as far as one knows.
    [[nodiscard]] Duration timeLeft(const Running &running, TimePoint now) const;
    /// When each slot is free for the next call, the soonest first.
    [[nodiscard]] std::vector<Duration> slotsFreeAfter(TimePoint now) const;
    /// Whether @p offer would start if it came now.
    [[nodiscard]] bool startsAtOnce(const WorkOffer &offer, TimePoint now) const;
    /// How long the upstream takes for a request of @p route that begins now, or after the spell if that is quicker.
    [[nodiscard]] Duration serviceTime(const RouteName &route, TimePoint now) const;
    /// Whether requests wait for the end of slow spells at all: not where work changes its pace with the VM.
    [[nodiscard]] bool waitsForSlowPeriods() const;
    /// Whether a request of @p route is done sooner if it begins after the VM's slow spell than if it begins now.
    [[nodiscard]] bool waitsForSlowPeriodEnd(const RouteName &route, TimePoint now) const;
    [[nodiscard]] WorkDuration workDuration(const Running &running, TimePoint now) const;
    /// How many times longer than usual the upstream takes, as its answers and the requests under way show.
    [[nodiscard]] double slowness(TimePoint now) const;
    /// How long @p offer would wait.
    [[nodiscard]] Duration expectedWait(const WorkOffer &offer, TimePoint now) const;
    [[nodiscard]] bool goesBefore(const WorkOffer &one, const WorkOffer &other, TimePoint now) const;
    [[nodiscard]] TimePoint latestStart(const WorkOffer &offer, TimePoint now) const;
    /// When a queued call is refused.
    [[nodiscard]] TimePoint giveUpTime(const Waiting &waiting, TimePoint now) const;
    /// Whether @p offer misses its target if it begins at @p start.
    [[nodiscard]] bool isLate(const WorkOffer &offer, TimePoint start, TimePoint now) const;
    /// Whether one more that will be late at @p start may wait.
    [[nodiscard]] bool takesLateOnes(TimePoint start, TimePoint now) const;
    [[nodiscard]] std::vector<CallId> startQueued(TimePoint now);
    [[nodiscard]] std::vector<Waiting>::iterator next(TimePoint now);
    [[nodiscard]] Failure refusal(Reason reason, const WorkOffer &offer, TimePoint now) const;
    void start(const WorkOffer &offer, TimePoint now);

    WorkQueueSettings settings_;
    ServiceTimes times_;
    std::unordered_map<CallId, Running> running_;
    /// In the order of arrival; a few dozen at most, so that each decision looks at all of them.
    std::vector<Waiting> queue_;
    std::uint32_t slots_ = 1;
    std::uint32_t others_ = 0;
    VmSlowdown slowdown_;
    double failureShare_ = 0.0;
};

}

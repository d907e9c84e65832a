#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <variant>
#include <vector>

#include "admission/callclass.h"
#include "admission/concurrencylimit.h"
#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"

namespace Egretpath
{

/// What the table allows an upstream.
struct AdmissionCaps
{
    /// Calls handed to the upstream at the same time; zero admits none.
    std::uint32_t inFlightCap = 1;
    /// Calls that wait for a slot.
    std::uint32_t queueCap = 0;
    /// Share of the slots, and of the queue, that uploads may take; at least one slot.
    double uploadShare = 0.5;
};

/// The call goes to the upstream now.
struct Admitted
{
};

/// The call waits; finish(), cancel(), setCaps() or expire() will say what becomes of it.
struct Queued
{
};

/// The call did not run and will not.
struct Refused
{
    Failure failure;
};

using OfferOutcome = std::variant<Admitted, Queued, Refused>;

/// A queued call that can no longer meet its deadline.
struct ExpiredCall
{
    CallId call;
    Failure failure;
};

/// Where a cancelled call was.
enum class CancelOutcome : std::uint8_t {
    /// It waited; it is gone and never ran.
    WasQueued,
    /// It is at the upstream. It keeps its slot until finish() or abandon() says that the upstream is rid of it.
    InFlight,
    /// It ended before, or never came.
    Unknown,
};

/// Decides at the egress which calls an upstream works on, which wait and which are refused.
///
/// Slots are capped; the queue is short and ordered by deadline; uploads can't take all of either. A call whose
/// deadline can't be met by what was measured is refused at once instead of being worked on in vain.
/// Each offered call ends exactly once: by Refused, by an ExpiredCall, by cancel() out of the queue, or by finish() or
/// abandon().
///
/// Thread safety: none; one owner. Call expire() after each event, and at nextExpiry().
class Admission
{
public:
    /// @p limit may be null for the fixed limit.
    explicit Admission(AdmissionCaps caps, std::unique_ptr<ConcurrencyLimit> limit = nullptr);

    /// A call arrives. Precondition: @p call was not offered before.
    /// Errors: Refused carries NotRun with Overloaded, Draining or DeadlinePassed, and when to come back.
    [[nodiscard]] OfferOutcome offer(CallId call, CallClass callClass, TimePoint deadline, TimePoint now);

    /// The upstream answered @p call whole. Returns the queued calls that go to the upstream now, in this order.
    /// Unknown calls change nothing.
    [[nodiscard]] std::vector<CallId> finish(CallId call, TimePoint now);

    /// The upstream is rid of @p call without having answered it (broken connection, cancelled, timeout). As
    /// finish(), but its duration says little and counts only if it was longer than the smoothed service time.
    [[nodiscard]] std::vector<CallId> abandon(CallId call, TimePoint now);

    /// The caller of @p call gave up.
    CancelOutcome cancel(CallId call);

    /// Removes and returns the queued calls that can no longer meet their deadline. They provably did not run.
    [[nodiscard]] std::vector<ExpiredCall> expire(TimePoint now);

    /// When expire() may next have something to return; nothing while the queue is empty.
    [[nodiscard]] std::optional<TimePoint> nextExpiry() const;

    /// Puts other caps in force. Calls in flight above a lower cap go on; queued calls above a lower queue cap keep
    /// their place. Returns the queued calls that go to the upstream now.
    [[nodiscard]] std::vector<CallId> setCaps(const AdmissionCaps &caps, TimePoint now);

    /// Refuses new calls from now on. Calls in flight and in the queue were accepted, and are served.
    void drain() { draining_ = true; }

    /// Whether drain() was called.
    [[nodiscard]] bool isDraining() const { return draining_; }

    /// No call is in flight or queued.
    [[nodiscard]] bool isIdle() const { return running_.empty() && queue_.empty(); }

    /// What to tell other nodes.
    [[nodiscard]] LoadReport report(TimePoint now) const;

    /// Calls at the upstream.
    [[nodiscard]] std::size_t inFlight() const { return running_.size(); }
    /// Calls that wait.
    [[nodiscard]] std::size_t queued() const { return queue_.size(); }

    /// Smoothed service time of @p callClass; zero before its first answer.
    [[nodiscard]] Duration serviceTime(CallClass callClass) const;

private:
    struct Running
    {
        CallClass callClass = CallClass::Lookup;
        TimePoint start;
    };

    struct Waiting
    {
        CallId call;
        CallClass callClass = CallClass::Lookup;
        TimePoint deadline;
    };

    struct EarlierDeadline
    {
        bool operator()(const Waiting &one, const Waiting &other) const;
    };

    using Queue = std::set<Waiting, EarlierDeadline>;

    [[nodiscard]] std::uint32_t slots() const;
    [[nodiscard]] std::uint32_t uploadSlots() const;
    [[nodiscard]] bool hasSlotFor(CallClass callClass) const;
    [[nodiscard]] bool hasQueuePlaceFor(CallClass callClass) const;
    [[nodiscard]] Duration expectedWait(std::size_t callsAhead) const;
    [[nodiscard]] Duration shortServiceTime() const;
    [[nodiscard]] std::size_t callsAheadOf(TimePoint deadline) const;
    [[nodiscard]] TimePoint latestStart(const Waiting &waiting) const;
    [[nodiscard]] Failure refusal(Reason reason) const;
    [[nodiscard]] std::vector<CallId> release(CallId call, TimePoint now, bool answered);
    void recordServiceTime(CallClass callClass, Duration time);
    Queue::iterator removeQueued(Queue::iterator place);
    void start(CallId call, CallClass callClass, TimePoint now);
    [[nodiscard]] std::vector<CallId> startQueued(TimePoint now);

    AdmissionCaps caps_;
    std::unique_ptr<ConcurrencyLimit> limit_;
    std::unordered_map<CallId, Running> running_;
    Queue queue_;
    std::unordered_map<CallId, Queue::iterator> places_;
    std::array<double, CallClassCount> serviceMicroseconds_{};
    std::uint32_t runningUploads_ = 0;
    std::uint32_t queuedUploads_ = 0;
    bool draining_ = false;
};

}

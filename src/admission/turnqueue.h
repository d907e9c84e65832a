#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "admission/offeroutcome.h"
#include "core/clock.h"

namespace Egretpath
{

/// Tuning constants of TurnQueue.
struct TurnQueueSettings
{
    /// Whether turns go by priority, with a share for the least urgent requests; else in order of arrival.
    bool ordersByPriority = true;
    /// Of this number of turns in sequence, one goes to each waiting priority other than the most urgent one. Large
    /// enough to leave most turns to urgent requests; a kind of request must get at least a quarter of the share of
    /// turns that all requests together get.
    std::uint32_t floorInterval = 8;
};

/// A request that needs a turn.
struct TurnRequest
{
    CallId call;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    /// Whether an upstream's own work waits for the answer.
    bool isDependent = false;
    /// An answer after this time is worth little.
    TimePoint target;
    TimePoint deadline;
    /// Expected time from the turn to the answer.
    Duration expectedTime{0};
    /// The longest wait after which the sender does not prefer another upstream; nothing if it names none.
    std::optional<Duration> declineAfter;
};

/// When the next turns are due.
struct TurnSchedule
{
    /// The time until the next turn.
    Duration untilNext{0};
    /// The time from one turn to the following one.
    Duration interval{0};
};

/// Decides which of the requests that wait for a turn at an upstream with a limited rate gets the next turn, and which
/// requests are refused since they can't get one in time.
///
/// Load pattern: all upstreams of a service are cold after a loss of power and take a few requests a second, a fraction
/// of what they are asked for. In order of arrival, frequent requests that may wait for long take all turns, and urgent
/// ones find none. Here a turn goes to the most urgent request that can still meet its target; of one priority, to
/// dependent calls first. A request waits only as long as a turn is useful to it: a dependent call, whose caller's work
/// is lost without an answer, for a third of the time to its deadline; a request of priority 0 until it can no longer
/// meet its target; any other request, whose caller may come back, for an eighth of the time to its target.
///
/// Requests of one priority that aren't dependent get their turns in order of arrival.
///
/// The queue does not hold the rate; see UpstreamRateLimit. Call next() for each turn that is due and then
/// removeHopeless(), also after add(). Thread safety: none; one owner. Errors: none.
class TurnQueue
{
public:
    explicit TurnQueue(TurnQueueSettings settings = {});

    /// Puts @p request into the queue. Precondition: its call is not in the queue.
    void add(const TurnRequest &request, TimePoint now);
    /// A turn is due: removes and returns the request that gets it; nothing if none waits.
    std::optional<CallId> next(TimePoint now);
    /// A request of @p priority that did not wait gets a turn.
    void onDirectTurn(std::uint8_t priority);
    /// Removes and returns the requests that can no longer get a turn in time.
    [[nodiscard]] std::vector<CallId> removeHopeless(const TurnSchedule &schedule, TimePoint now);
    /// Removes @p call; returns whether it was in the queue.
    bool remove(CallId call);

    /// How long @p request waits for its turn if it arrives now: only those that go before it count.
    [[nodiscard]] Duration expectedWait(const TurnRequest &request, const TurnSchedule &schedule, TimePoint now) const;
    /// The longest time for which @p request may wait if it arrives now; zero or more.
    [[nodiscard]] Duration maxWait(const TurnRequest &request, TimePoint now) const;
    /// How long a request of priority 0 waits for its turn if it arrives now.
    [[nodiscard]] Duration urgentWait(const TurnSchedule &schedule, TimePoint now) const;
    /// How long a request waits for its turn if it goes behind all others.
    [[nodiscard]] Duration lastWait(const TurnSchedule &schedule) const;
    [[nodiscard]] bool isEmpty() const { return waiting_.empty(); }
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    struct Waiting
    {
        TurnRequest request;
        /// A turn after this time is of no use.
        TimePoint latestTurn;
        /// The number of turns given before the request came.
        std::uint64_t turnsBefore = 0;
    };

    /// Counts turns, to find the priorities that are owed one.
    struct TurnRecord
    {
        std::uint64_t turns = 0;
        /// The number of the last turn of each priority.
        std::map<std::uint8_t, std::uint64_t> lastTurns;
    };

    /// Where a request stands among those that wait, first to last.
    enum class Precedence : std::uint8_t {
        /// Its priority is owed a turn.
        Owed,
        /// It has priority 0 and can still meet its target.
        Urgent,
        /// Its priority will be owed a turn soon.
        SoonOwed,
        Other,
    };

    using Queue = std::vector<Waiting>;

    /// The request of @p queue that gets a turn which is due at @p time. Precondition: the queue is not empty.
    [[nodiscard]] Queue::const_iterator choose(const Queue &queue, const TurnRecord &record, TimePoint time) const;
    /// The place of @p waiting if the turn is due at @p time. @p highest: the highest priority that waits.
    [[nodiscard]] Precedence precedence(const Waiting &waiting, std::uint8_t highest, const TurnRecord &record,
                                        TimePoint time) const;
    /// Whether the order of arrival applies to @p queue.
    [[nodiscard]] bool keepsOrderOfArrival(const Queue &queue) const;
    static void recordTurn(TurnRecord &record, std::uint8_t priority);

    TurnQueueSettings settings_;
    /// In order of arrival.
    Queue waiting_;
    TurnRecord record_;
};

}

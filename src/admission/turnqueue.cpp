#include "admission/turnqueue.h"

#include <algorithm>
#include <tuple>

namespace Egretpath
{

namespace
{

/// The parts of the time left for which a request waits.
constexpr int DependentWaitDivisor = 3;
constexpr int WaitDivisor = 8;

/// A priority may get the turn that it will be owed up to this number of turns earlier, if no urgent request waits
/// then. At 16 turns a second an urgent check can wait for one turn only, so that it is refused if the floor takes that
/// turn. In the load of turnqueuetest.cpp, 88 % of the urgent requests got turns with both constants at zero, and 98 %
/// with these values.
constexpr std::uint32_t EarlyTurns = 2;
/// A request whose priority is owed a turn goes before urgent ones only after this number of turns has passed it over.
/// With 2, dependent calls, which can wait for one turn only at that rate, would never get theirs.
constexpr std::uint64_t MinTurnsWaited = 1;

/// Ranks of a request whose turn comes at a given time, best first.
enum class Prospect : std::uint8_t {
    MeetsTarget,
    MeetsDeadline,
    MissesDeadline,
};

Prospect prospect(const TurnRequest &request, TimePoint turn)
{
    const TimePoint answered = turn + request.expectedTime;
    if (answered <= request.target) {
        return Prospect::MeetsTarget;
    }
    return answered <= request.deadline ? Prospect::MeetsDeadline : Prospect::MissesDeadline;
}

}

TurnQueue::TurnQueue(TurnQueueSettings settings)
    : settings_(settings)
{
}

void TurnQueue::add(const TurnRequest &request, TimePoint now)
{
    waiting_.push_back({request, now + maxWait(request, now), record_.turns});
}

std::optional<CallId> TurnQueue::next(TimePoint now)
{
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto chosen = choose(waiting_, record_, now);
    const CallId call = chosen->request.call;
    recordTurn(record_, chosen->request.priority);
    waiting_.erase(chosen);
    return call;
}

void TurnQueue::onDirectTurn(std::uint8_t priority)
{
    recordTurn(record_, priority);
}

/// Plays the coming turns through. A request that is found hopeless takes no turn from the others.
std::vector<CallId> TurnQueue::removeHopeless(const TurnSchedule &schedule, TimePoint now)
{
    std::vector<CallId> hopeless;
    Queue left = waiting_;
    TurnRecord record = record_;
    for (TimePoint turn = now + schedule.untilNext; !left.empty(); turn += schedule.interval) {
        for (const Waiting &waiting : left) {
            if (waiting.latestTurn < turn) {
                hopeless.push_back(waiting.request.call);
            }
        }
        std::erase_if(left, [turn](const Waiting &waiting) { return waiting.latestTurn < turn; });
        if (!left.empty()) {
            const auto chosen = choose(left, record, turn);
            recordTurn(record, chosen->request.priority);
            left.erase(chosen);
        }
    }
    for (const CallId call : hopeless) {
        remove(call);
    }
    return hopeless;
}

bool TurnQueue::remove(CallId call)
{
    return std::erase_if(waiting_, [call](const Waiting &waiting) { return waiting.request.call == call; }) > 0;
}

Duration TurnQueue::expectedWait(const TurnRequest &request, const TurnSchedule &schedule, TimePoint now) const
{
    if (waiting_.empty()) {
        return schedule.untilNext;
    }
    Queue left = waiting_;
    left.push_back({request, TimePoint::max(), record_.turns});
    TurnRecord record = record_;
    Duration wait = schedule.untilNext;
    while (true) {
        std::erase_if(left, [turn = now + wait](const Waiting &waiting) { return waiting.latestTurn < turn; });
        const auto chosen = choose(left, record, now + wait);
        if (chosen == left.end() - 1) {
            return wait;
        }
        recordTurn(record, chosen->request.priority);
        left.erase(chosen);
        wait += schedule.interval;
    }
}

Duration TurnQueue::maxWait(const TurnRequest &request, TimePoint now) const
{
    Duration wait{0};
    if (request.isDependent) {
        wait = (request.deadline - now) / DependentWaitDivisor;
    } else if (request.priority == 0 && settings_.ordersByPriority) {
        wait = request.target - request.expectedTime - now;
    } else {
        wait = (request.target - now) / WaitDivisor;
    }
    if (request.declineAfter) {
        wait = std::min(wait, *request.declineAfter);
    }
    return std::max(wait, Duration{0});
}

Duration TurnQueue::urgentWait(const TurnSchedule &schedule, TimePoint now) const
{
    TurnRequest request;
    request.target = TimePoint::max();
    request.deadline = TimePoint::max();
    return expectedWait(request, schedule, now);
}

Duration TurnQueue::lastWait(const TurnSchedule &schedule) const
{
    return schedule.untilNext + schedule.interval * static_cast<Duration::rep>(waiting_.size());
}

TurnQueue::Queue::const_iterator TurnQueue::choose(const Queue &queue, const TurnRecord &record, TimePoint time) const
{
    if (keepsOrderOfArrival(queue)) {
        return queue.begin();
    }
    const auto priorityOf = [](const Waiting &waiting) { return waiting.request.priority; };
    const std::uint8_t highest = std::ranges::min(queue, {}, priorityOf).request.priority;
    const auto rank = [&](const Waiting &waiting) {
        const TurnRequest &request = waiting.request;
        const Precedence place = precedence(waiting, highest, record, time);
        const bool isFloor = place == Precedence::Owed || place == Precedence::SoonOwed;
        // If several priorities are owed a turn, the least urgent one gets it.
        const int floorOrder = isFloor ? -request.priority : 0;
        return std::tuple(place, floorOrder, prospect(request, time), request.priority, !request.isDependent,
                          request.target);
    };
    // Of equals, the first one is the one that has waited longest.
    return std::min_element(queue.begin(), queue.end(),
                            [&rank](const Waiting &one, const Waiting &other) { return rank(one) < rank(other); });
}

/// Turns also count for the floor while no request of the priority waits, because its requests are refused meanwhile.
/// One that arrives after that finds a turn soon.
TurnQueue::Precedence TurnQueue::precedence(const Waiting &waiting, std::uint8_t highest, const TurnRecord &record,
                                            TimePoint time) const
{
    const TurnRequest &request = waiting.request;
    const Prospect ahead = prospect(request, time);
    if (request.priority == 0 && ahead == Prospect::MeetsTarget) {
        return Precedence::Urgent;
    }
    if (request.priority == highest || ahead == Prospect::MissesDeadline) {
        return Precedence::Other;
    }
    const auto last = record.lastTurns.find(request.priority);
    const std::uint64_t turnsOfOthers = record.turns - (last == record.lastTurns.end() ? 0 : last->second);
    if (turnsOfOthers + 1 >= settings_.floorInterval && record.turns - waiting.turnsBefore >= MinTurnsWaited) {
        return Precedence::Owed;
    }
    return turnsOfOthers + 1 + EarlyTurns >= settings_.floorInterval ? Precedence::SoonOwed : Precedence::Other;
}

bool TurnQueue::keepsOrderOfArrival(const Queue &queue) const
{
    const auto isLikeFirst = [&queue](const Waiting &waiting) {
        return !waiting.request.isDependent && waiting.request.priority == queue.front().request.priority;
    };
    return !settings_.ordersByPriority || std::all_of(queue.begin(), queue.end(), isLikeFirst);
}

void TurnQueue::recordTurn(TurnRecord &record, std::uint8_t priority)
{
    record.lastTurns[priority] = ++record.turns;
}

}

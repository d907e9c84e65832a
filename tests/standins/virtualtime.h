#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "core/clock.h"

namespace Egretpath
{

/// A clock that goes from one planned action to the next without waiting. Thread safety: none.
class VirtualTime
{
public:
    explicit VirtualTime(TimePoint start = TimePoint())
        : now_(start)
    {
    }

    [[nodiscard]] TimePoint now() const { return now_; }
    /// Calls @p action at @p time; of those at the same time the one planned first goes first.
    void at(TimePoint time, std::function<void()> action);
    /// Runs what is due until @p end, which is the time then.
    void runUntil(TimePoint end);
    /// Runs all that is due, and what that plans, until nothing is.
    void runAll();

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t number = 0;
        std::function<void()> action;

        friend bool operator<(const Event &left, const Event &right)
        {
            return std::pair(left.at, left.number) > std::pair(right.at, right.number);
        }
    };

    void runNext();

    TimePoint now_;
    std::priority_queue<Event> events_;
    std::uint64_t eventNumber_ = 0;
};

}

#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>

#include "core/clock.h"

namespace Egretpath
{

/// A simulated clock that advances from one planned action to the next without waiting. Thread safety: none.
class VirtualTime
{
public:
    explicit VirtualTime(TimePoint start = TimePoint())
        : now_(start)
    {
    }

    [[nodiscard]] TimePoint now() const { return now_; }
    /// Plans to call @p action at @p time. Actions of the same time run in the order in which they were planned.
    void at(TimePoint time, std::function<void()> action);
    /// Runs the actions that are due until @p end, then sets the time to @p end.
    void runUntil(TimePoint end);
    /// Runs all planned actions, including those that they plan, until none is left.
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

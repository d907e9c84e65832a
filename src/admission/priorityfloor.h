#pragma once

#include <cstdint>

namespace Egretpath
{

/// Decides when a waiting request of the lowest priority starts before more urgent ones, so that it is not starved.
///
/// Load pattern: more requests of high priority than the upstream can run, for seconds. Each of them goes before the
/// waiting requests of the lowest priority, which would all be refused in the end.
///
/// Thread safety: none; one owner. Errors: none.
class PriorityFloor
{
public:
    /// A request of @p priority started. @p lowestWaiting: the lowest priority, the highest number, of the requests
    /// that wait and the one that started.
    void onStarted(std::uint8_t priority, std::uint8_t lowestWaiting)
    {
        overtakes_ = priority < lowestWaiting ? overtakes_ + 1 : 0;
    }
    /// Whether the next start belongs to a request of the lowest waiting priority.
    [[nodiscard]] bool isDue() const { return overtakes_ >= MaxOvertakes; }

private:
    /// Of eight starts in a row, at least one goes to the lowest waiting priority. A larger share would delay urgent
    /// requests; a service may not serve one kind less than a quarter as often as all its requests together.
    static constexpr std::uint32_t MaxOvertakes = 7;

    /// Consecutive starts that went before a waiting request of lower priority.
    std::uint32_t overtakes_ = 0;
};

}

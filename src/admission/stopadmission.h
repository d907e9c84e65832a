#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>

#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Why a node takes a request.
enum class StopBasis : std::uint8_t {
    /// The node was not stopping yet.
    NotStopping,
    /// The deadline of the request passes before the process ends.
    Deadline,
    /// The recent answers of its route took much less time than is left, and callers don't know of the stop yet.
    Estimate,
};

/// The word for @p basis in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(StopBasis basis);

/// Decides which requests a node still accepts while it stops.
///
/// Load pattern: callers keep sending requests for seconds after a planned stop begins. A request that is forwarded and
/// outlives the process is cut off although it runs, and how long it will run is not known: an upstream may be slower
/// than it ever was. So a request is taken only if its deadline passes before the process ends. Callers that can't know
/// yet that the node stops have nowhere else to go, and routes may have timeouts beyond the grace time. Until the
/// platform sends callers elsewhere, a request is therefore also taken if the recent answers of its route leave room.
///
/// Thread safety: none; one owner. Errors: none.
class StopAdmission
{
public:
    /// Records that the answer to a request of @p route took @p duration.
    void recordAnswer(const RouteName &route, Duration duration);
    /// Begins the stop. Answers have to be complete at @p answersDue. Until @p estimatesUntil, recent answer times may
    /// decide.
    void begin(TimePoint answersDue, TimePoint estimatesUntil);
    /// Refuses all requests from now on.
    void close() { isClosed_ = true; }

    /// Why a request of @p route that arrives at @p now is taken; nothing if it may outlast the process.
    [[nodiscard]] std::optional<StopBasis> accepts(const RouteName &route, TimePoint deadline, TimePoint now) const;
    /// Time from @p now until answers are due; zero if the node is not stopping.
    [[nodiscard]] Duration timeLeft(TimePoint now) const;

private:
    /// Longest recent answer time of each route.
    std::unordered_map<RouteName, Duration> longestAnswers_;
    TimePoint answersDue_ = TimePoint::max();
    TimePoint estimatesUntil_ = TimePoint::max();
    bool isClosed_ = false;
};

}

#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/clock.h"
#include "core/requestrate.h"

namespace Egretpath
{

/// Why an upstream may get only a number of requests a second.
enum class RateGround : std::uint8_t {
    /// The upstream names the rate in its answers.
    Named,
    /// The upstream is cold, or it is not known whether it is warm.
    Cold,
};

inline constexpr std::size_t RateGroundCount = 2;

/// Keeps the requests that an upstream gets within a rate. There may be several grounds; the lowest rate holds.
///
/// Load pattern: an upstream in need, or one that has just started, takes only a few requests a second from all nodes
/// together. All its requests pass through the node beside it, so the rate is held there, without messages between
/// nodes. Each request takes a turn. Turns are an interval apart, but two may follow each other at once, so that little
/// of the rate is left unused when requests come irregularly. Requests that have taken a turn may wait for other things
/// and then be handed over together, so a hand-over also needs room in the last second.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamRateLimit
{
public:
    /// @p startedAt: when this process started. What an earlier process handed over in the second before is not known.
    explicit UpstreamRateLimit(TimePoint startedAt);
    /// From now on the upstream may get @p rate on this ground; nothing if there is no limit on it.
    void setRate(RateGround ground, std::optional<RequestRate> rate, TimePoint now);
    /// Takes the next turn for a request and returns when it is due, which is now if there is no limit.
    TimePoint takeTurn(TimePoint now);
    /// A request is handed over to the upstream.
    void onHandOver(TimePoint now);

    /// The rate on this ground.
    [[nodiscard]] const std::optional<RequestRate> &rate(RateGround ground) const;
    [[nodiscard]] bool isLimited() const { return lowestRate().has_value(); }
    /// The time until the next turn is due; zero if it is due now.
    [[nodiscard]] Duration timeUntilNext(TimePoint now) const;
    /// The time from one turn to the next; zero if there is no limit.
    [[nodiscard]] Duration turnInterval() const { return isLimited() ? interval() : Duration{0}; }
    /// Whether a request that has a turn may be handed over now.
    [[nodiscard]] bool hasRoom(TimePoint now);

private:
    [[nodiscard]] std::optional<RequestRate> lowestRate() const;
    /// The time between two turns. Precondition: there is a rate.
    [[nodiscard]] Duration interval() const;
    /// When the requests of the last second are used up at a rate that holds from @p now on.
    [[nodiscard]] TimePoint usedUpByRecentRequests(TimePoint now);
    void forgetOldRequests(TimePoint now);

    std::array<std::optional<RequestRate>, RateGroundCount> rates_;
    TimePoint startedAt_;
    /// When the turns taken so far are used up at the rate.
    TimePoint usedUpAt_;
    /// When the requests of the last second were handed over.
    std::deque<TimePoint> recentRequests_;
};

}

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
/// nodes. Requests beyond it are not held: other upstreams may have room, and a queue would not get shorter. Two
/// requests may follow each other at once, so that little of the rate is left unused when requests come irregularly.
///
/// Thread safety: none; one owner. Errors: none.
class UpstreamRateLimit
{
public:
    /// From now on the upstream may get @p rate on this ground; nothing if there is no limit on it.
    void setRate(RateGround ground, std::optional<RequestRate> rate, TimePoint now);
    /// A request is handed over to the upstream.
    void onHandOver(TimePoint now);

    /// The rate on this ground.
    [[nodiscard]] const std::optional<RequestRate> &rate(RateGround ground) const;
    /// The time until the upstream may get the next request; zero if it may get one now.
    [[nodiscard]] Duration timeUntilNext(TimePoint now) const;

private:
    [[nodiscard]] std::optional<RequestRate> lowestRate() const;
    /// Precondition: there is a rate.
    [[nodiscard]] Duration interval() const;
    /// When the requests of the last second are used up at a rate that holds from @p now on.
    [[nodiscard]] TimePoint usedUpByRecentRequests(TimePoint now);
    void forgetOldRequests(TimePoint now);

    std::array<std::optional<RequestRate>, RateGroundCount> rates_;
    /// When the requests handed over so far are used up at the rate.
    TimePoint usedUpAt_;
    /// When the requests of the last second were handed over.
    std::deque<TimePoint> recentRequests_;
};

}

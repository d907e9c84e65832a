#pragma once

#include <functional>
#include <optional>
#include <string_view>

#include "admission/turnqueue.h"
#include "admission/upstreamratelimit.h"
#include "admission/upstreamwarmth.h"
#include "core/currenttime.h"
#include "core/verdict.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// Holds the rate of requests to the upstream beside this node on all grounds, and logs their changes.
///
/// An upstream that is not known to be warm counts as cold. Preconditions: references outlive the object. Thread
/// safety: none. Errors: none.
class UpstreamRate
{
public:
    UpstreamRate(EventLog &log, Metrics &metrics);

    /// The requests a second that the upstream takes while it is cold; nothing if any number.
    void setColdRate(std::optional<RequestRate> rate);
    /// Another upstream has the address.
    void onReplaced(const UpstreamName &upstream);
    /// The upstream may have started again.
    void onDisconnected();
    /// The upstream named @p limit in an answer to a request, or named none.
    void onAnswer(std::optional<RequestRate> limit);
    /// The upstream said in a health answer how much longer it is cold; nothing if that could not be read.
    void onHealthAnswer(std::optional<Milliseconds> warmUpLeft);
    /// Takes the next turn for a request. Precondition: it is due.
    void takeTurn() { limit_.takeTurn(currentTime()); }
    /// A request is handed over to the upstream.
    void onHandOver();

    /// Calls @p listener whenever the limit may have changed or ended.
    void onLimitChanged(std::function<void()> listener) { limitListener_ = std::move(listener); }

    /// The refusal of a request that would wait for @p wait, with the time after which to come back.
    [[nodiscard]] Failure refusal(Duration wait) const;
    /// See UpstreamRateLimit::hasRoom().
    [[nodiscard]] bool hasRoom() { return limit_.hasRoom(currentTime()); }
    /// Why requests need turns: "cold" or "named"; empty if they need none.
    [[nodiscard]] std::string_view limitedBy() const;
    /// Whether requests need turns.
    [[nodiscard]] bool isLimited() const { return limit_.isLimited(); }
    /// When turns are due, apart from the requests that wait for them.
    [[nodiscard]] TurnSchedule turnSchedule() const
    {
        return {limit_.timeUntilNext(currentTime()), limit_.turnInterval()};
    }
    /// Whether a health answer would show soon, or now, whether the upstream is warm.
    [[nodiscard]] bool wantsHealthCheck() const { return coldRate_ && warmth_.needsHealthCheck(); }
    /// Whether a request should wait for a health answer. Such an answer is not older than @p maxAge.
    [[nodiscard]] bool needsHealthCheck(Duration maxAge) const;

private:
    /// Passes the cold rate on to the limit while the upstream is not known to be warm.
    void updateColdRate();
    void setRate(RateGround ground, std::optional<RequestRate> rate);

    EventLog &log_;
    Metrics &metrics_;
    UpstreamName upstream_;
    UpstreamRateLimit limit_;
    UpstreamWarmth warmth_;
    std::optional<RequestRate> coldRate_;
    std::function<void()> limitListener_;
};

}

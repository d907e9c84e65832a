#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// Tuning constants of PlacementView.
struct PlacementViewSettings
{
    /// Age at which the weight of a report against the typical load has fallen to 1/e; about the length of a slow
    /// period.
    Duration reportMemory = Milliseconds{300};
    /// Weight of the newest report in the typical load.
    double typicalGain = 0.03;
    /// Typical slowdown before any report: a quarter of the VMs is four times slower.
    double typicalSlowdown = 1.7;
    /// Time in which the weight of recent failures falls to 1/e.
    Duration failureMemory = std::chrono::seconds{3};
    /// A request's expected time, apart from its arrival delay, is multiplied by
    /// 1 + failurePenalty * (recent failures seen here) + failureShareFactor * (failure share of the upstream's latest
    /// answers). This keeps an upstream that fails quickly from attracting requests.
    double failurePenalty = 2.0;
    double failureShareFactor = 4.0;
    /// Whether an upstream without a report is assumed to have the typical load; else it is assumed idle and without
    /// slowdown.
    bool assumesTypical = true;
    /// Whether the arrival delay of an upstream's latest report is added to its expected time.
    bool countsDelay = true;
    /// Weight of each of this node's running requests that no report includes yet, in calls ahead.
    double ownRequestWeight = 0.5;
    /// An upstream whose node can't be reached is ejected for this time. Each further failure doubles the time.
    Duration baseUnreachableHold = Milliseconds{150};
    Duration maxUnreachableHold = std::chrono::seconds{3};
};

/// A request whose time at an upstream is to be estimated.
struct PlacementDemand
{
    /// Duration of the request on an idle upstream whose VM is not slowed down.
    Duration baselineTime{0};
    /// Whether the request goes before all queued calls.
    bool isUrgent = false;
    /// Whether the answer is so large that it waits for the link behind other large answers.
    bool isLargeAnswer = false;
    /// 0 is the most urgent.
    std::uint32_t priority = UINT32_MAX;
};

/// Tracks what one ingress knows of the upstreams' load: the slowdown of their VMs, and the running and queued calls.
///
/// Slowdown and calls are stored separately, so that a report that arrives with one request can be used for requests of
/// all routes and priorities.
///
/// Thread safety: none; one owner. Errors: none.
class PlacementView
{
public:
    explicit PlacementView(PlacementViewSettings settings = {});

    /// A request was sent to @p upstream. Exactly one onEnded() follows.
    void onSent(const UpstreamName &upstream);
    void onEnded(const UpstreamName &upstream);
    /// The node beside @p upstream reported its load. An upstream that takes no request for a while, by the rate limit
    /// that it named, is ejected for this time; but not for requests of priority 0 if the report gives their wait.
    void onReport(const UpstreamName &upstream, const LoadReport &report, TimePoint now);
    /// The upstream failed a request: with an error answer, an incomplete answer, or none.
    void onFailed(const UpstreamName &upstream, TimePoint now);
    /// The node beside the upstream could not be reached.
    void onUnreachable(const UpstreamName &upstream, TimePoint now);
    /// The node beside the upstream was reached.
    void onReached(const UpstreamName &upstream);
    /// The upstream accepts no new work for @p hold.
    void onDraining(const UpstreamName &upstream, Duration hold, TimePoint now);
    void forget(const UpstreamName &upstream) { records_.erase(upstream); }

    /// Expected time from the arrival of a request at the upstream's node to its answer.
    [[nodiscard]] Duration expected(const UpstreamName &upstream, const PlacementDemand &demand, TimePoint now) const;
    /// Whether no request of @p priority should be sent to the upstream now.
    [[nodiscard]] bool isEjected(const UpstreamName &upstream, TimePoint now,
                                 std::uint32_t priority = UINT32_MAX) const;
    /// How outdated the latest report is: 0 for a report of this moment, 1 without any.
    [[nodiscard]] double staleness(const UpstreamName &upstream, TimePoint now) const;
    /// Whether no report ever came from the upstream's node.
    [[nodiscard]] bool isUnknown(const UpstreamName &upstream) const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }

private:
    /// The state of an upstream that determines how long a request takes.
    struct Load
    {
        /// How many times longer than the baseline work takes.
        double slowdown = 1.0;
        /// Time until the end of the VM's slow period, and the slowdown after it. Requests wait for the end if that is
        /// quicker.
        double slowPeriodSeconds = 0.0;
        double recoveredSlowdown = 1.0;
        /// Calls ahead of a request, divided by the number of slots: for a request that goes before all queued calls,
        /// and for a request that goes behind them.
        double urgentCallsAhead = 0.0;
        double callsAhead = 0.0;
        /// Requests that this node has sent since the report, in calls ahead, divided by the number of slots.
        double ownCallsAhead = 0.0;
        /// Expected wait of a request of priority 0. If the report doesn't carry it, it is estimated from callsAhead.
        double urgentWaitSeconds = 0.0;
        bool hasUrgentWait = false;
        double failureShare = 0.0;
        /// Delay with which requests reach the upstream's node.
        double delaySeconds = 0.0;
        /// Time that large answers wait for the link of the upstream's node. Not a part of the typical load, since only
        /// nodes that know the rate of their link report it.
        double linkBacklogSeconds = 0.0;
    };

    struct Record
    {
        Load load;
        double slots = 1.0;
        TimePoint reportTime;
        bool hasReport = false;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightAtReport = 0;
        double failures = 0.0;
        TimePoint failureTime;
        std::uint32_t unreachableCount = 0;
        TimePoint ejectedUntil;
        /// Until when the limited rate has no room for another request, and for one of priority 0. The latter is not
        /// set if the latest report of a limit did not give it.
        TimePoint limitedUntil;
        std::optional<TimePoint> limitedForUrgentUntil;
    };

    /// How long a request with @p demand waits until the limited rate has room for it.
    [[nodiscard]] static Duration turnWait(const Record &record, const PlacementDemand &demand, TimePoint now);
    [[nodiscard]] double recentFailures(const Record &record, TimePoint now) const;
    [[nodiscard]] Load estimatedLoad(const Record &record, TimePoint now) const;
    [[nodiscard]] Load loadFrom(const LoadReport &report) const;
    [[nodiscard]] static Load weightedLoad(double share, const Load &one, const Load &other);
    /// How long work takes that needs @p baselineSeconds on an idle upstream whose VM is not slowed down.
    [[nodiscard]] static double workSeconds(const Load &load, double baselineSeconds);
    /// Expected time that a request waits for a slot.
    [[nodiscard]] double queueSeconds(const Load &load, const PlacementDemand &demand) const;

    PlacementViewSettings settings_;
    std::unordered_map<UpstreamName, Record> records_;
    Load typicalLoad_;
    double meanServiceSeconds_ = 0.0;
};

}

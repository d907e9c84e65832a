#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "core/verdict.h"

namespace Egretpath
{

/// What one ingress knows of one upstream. Times are in microseconds where a field says so.
struct UpstreamLoad
{
    Incarnation incarnation;
    /// Calls sent from here that have not ended.
    std::uint32_t inFlight = 0;
    /// Own calls in flight when the last report was made; they are part of what it counts.
    std::uint32_t inFlightAtReport = 0;
    LoadReport report;
    /// Meaningful only if hasReport.
    TimePoint reportTime;
    bool hasReport = false;
    bool hasLatency = false;
    /// The upstream is new, or is a new incarnation, since warmUpStart.
    bool warmingUp = false;
    /// Smoothed time from sending a call to its whole, successful answer.
    double latencyMicroseconds = 0.0;
    TimePoint latencyTime;
    /// Recent failures, each counting one at first and less as time passes; valid at failureTime.
    double failureEvidence = 0.0;
    TimePoint failureTime;
    /// First time at which this incarnation was seen.
    TimePoint warmUpStart;
    /// The last event that showed progress while calls were outstanding: a call that ended, or the
    /// first that was sent to an idle upstream.
    TimePoint progressTime;
    TimePoint lastSent;
    /// New calls are expected to be refused until then.
    TimePoint refusedUntil;
    TimePoint lastProbe;
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Constants of LoadView.
struct LoadViewSettings
{
    /// Weight of the newest latency in the smoothed one.
    double latencyGain = 0.1;
    /// Time in which evidence of failures falls to 1/e.
    Duration failureMemory = std::chrono::seconds{5};
    /// Shortest and longest time for which a refusal keeps new calls away.
    Duration refusalHoldMinimum = Milliseconds{2};
    Duration refusalHoldMaximum = Milliseconds{250};
    /// Weight of the newest report in typicalOccupancy().
    double occupancyGain = 0.05;
    /// Weight of the newest latency in typicalLatencyMicroseconds(). Small, so that a zone that turns slow is
    /// compared with what was usual before, and does not pass for normal at once.
    double typicalLatencyGain = 0.002;
    /// A call asks for a report if the last one is older.
    Duration reportInterval = Milliseconds{100};
};

/// The ingress's view of the upstreams: own calls in flight, the last reports, latencies and failures seen.
///
/// One view for each service: the typical latency is that of its calls, and an upstream serves one service.
/// Each call is told once by onSent() and once by exactly one of onAnswered(), onErrorAnswer(),
/// onRefused(), onFailed() or onCancelled(). An event for an upstream that is not known creates its record.
/// Thread safety: none; one owner. Errors: none.
class LoadView
{
public:
    explicit LoadView(LoadViewSettings settings = {});

    /// A call left for @p upstream.
    void onSent(const UpstreamName &upstream, TimePoint now);

    /// A whole, successful answer came after @p latency. Not every answer needs to carry a report.
    void onAnswered(const UpstreamName &upstream, Duration latency, const std::optional<LoadReport> &report,
                    TimePoint now);

    /// A whole answer came that says that the upstream failed (HTTP 5xx). Its latency is never
    /// counted: errors are often quick, and must not make the upstream look fast.
    void onErrorAnswer(const UpstreamName &upstream, const std::optional<LoadReport> &report, TimePoint now);

    /// The node beside @p upstream refused the call before it ran.
    void onRefused(const UpstreamName &upstream, Reason reason, Milliseconds retryAfter,
                   const std::optional<LoadReport> &report, TimePoint now);

    /// The call ended without an answer: no connection, a broken one, a timeout or a broken answer.
    void onFailed(const UpstreamName &upstream, Reason reason, TimePoint now);

    /// The call ended here for a reason that says nothing of @p upstream: its caller went away, or it
    /// lost against a hedge.
    void onCancelled(const UpstreamName &upstream, TimePoint now);

    /// A probe was sent. It counts as a look at the upstream, so that no second one follows at once.
    void onProbeSent(const UpstreamName &upstream, TimePoint now);

    /// A probe was answered.
    void onProbe(const UpstreamName &upstream, const LoadReport &report, TimePoint now);

    /// Another incarnation runs at @p upstream: what was known of the old one no longer counts, and the
    /// new one warms up. Does nothing if @p incarnation is the known one. The first incarnation seen of an
    /// upstream that has answered before is taken without warm-up.
    void onReplaced(const UpstreamName &upstream, Incarnation incarnation, TimePoint now);

    /// The upstream left the table or the live list.
    void forget(const UpstreamName &upstream);

    /// The record of @p upstream, or nullptr. Valid until the next event.
    [[nodiscard]] const UpstreamLoad *find(const UpstreamName &upstream) const;

    /// Whether the next call to @p upstream should ask for a report with its answer. Asking keeps the bytes of
    /// measuring bounded by time instead of by calls, and needs no state for each peer at the upstream's node.
    [[nodiscard]] bool wantsReport(const UpstreamName &upstream, TimePoint now) const;

    /// Evidence of failures at @p now; zero without any.
    [[nodiscard]] double failureEvidence(const UpstreamLoad &load, TimePoint now) const;

    /// Smoothed (in flight + queued) / slots over the reports of all upstreams.
    [[nodiscard]] double typicalOccupancy() const { return typicalOccupancy_; }

    /// Smoothed latency over all upstreams, in microseconds; zero before the first answer.
    [[nodiscard]] double typicalLatencyMicroseconds() const { return typicalLatencyMicroseconds_; }

    /// Upstreams with a record.
    [[nodiscard]] std::size_t size() const { return loads_.size(); }

private:
    UpstreamLoad &recordOf(const UpstreamName &upstream, TimePoint now);
    void takeReport(UpstreamLoad &load, const std::optional<LoadReport> &report, TimePoint now);
    void addFailure(UpstreamLoad &load, TimePoint now);

    LoadViewSettings settings_;
    std::unordered_map<UpstreamName, UpstreamLoad> loads_;
    double typicalOccupancy_ = 0.5;
    double typicalLatencyMicroseconds_ = 0.0;
    std::uint64_t answers_ = 0;
};

}

#include "routing/placementview.h"

#include <algorithm>
#include <cmath>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// Returns a weight that is one at @p seen and has fallen to 1/e after @p memory.
double freshness(TimePoint seen, Duration memory, TimePoint now)
{
    const std::chrono::duration<double> age = std::max(now - seen, Duration{0});
    return std::exp(-age / std::chrono::duration<double>(memory));
}

constexpr double Percent = 100.0;

double weightedMean(double share, double one, double other)
{
    return share * one + (1.0 - share) * other;
}

}

PlacementView::PlacementView(PlacementViewSettings settings)
    : settings_(settings)
{
    if (settings_.assumesTypical) {
        typicalLoad_.slowdown = settings_.typicalSlowdown;
        typicalLoad_.recoveredSlowdown = settings_.typicalSlowdown;
    }
}

void PlacementView::onSent(const UpstreamName &upstream)
{
    ++records_[upstream].inFlight;
}

void PlacementView::onEnded(const UpstreamName &upstream)
{
    const auto found = records_.find(upstream);
    if (found != records_.end() && found->second.inFlight > 0) {
        --found->second.inFlight;
    }
}

void PlacementView::onReport(const UpstreamName &upstream, const LoadReport &report, TimePoint now)
{
    Record &record = records_[upstream];
    record.load = loadFrom(report);
    record.hasReport = true;
    const double gain = settings_.typicalGain;
    if (settings_.assumesTypical) {
        typicalLoad_ = weightedLoad(gain, record.load, typicalLoad_);
    }
    if (report.meanServiceMicroseconds > 0) {
        const double mean = inSeconds(Microseconds(report.meanServiceMicroseconds));
        meanServiceSeconds_ = meanServiceSeconds_ > 0.0 ? weightedMean(gain, mean, meanServiceSeconds_) : mean;
    }
    record.slots = std::max(report.slots, 1U);
    record.reportTime = now;
    const TimePoint limitedUntil = now + Microseconds(report.limitedForMicroseconds);
    record.limitedUntil = std::max<TimePoint>(record.limitedUntil, limitedUntil);
    if (report.limitedForMicroseconds == 0) {
        // Without a limit, the reported wait of urgent requests is one for a slot.
        record.limitedForUrgentUntil = now;
    } else if (report.urgentWaitMicroseconds > 0) {
        record.limitedForUrgentUntil = now + Microseconds(report.urgentWaitMicroseconds);
    } else {
        record.limitedForUrgentUntil.reset();
    }
    record.inFlightAtReport = record.inFlight;
}

void PlacementView::onFailed(const UpstreamName &upstream, TimePoint now)
{
    Record &record = records_[upstream];
    record.failures = recentFailures(record, now) + 1.0;
    record.failureTime = now;
}

void PlacementView::onUnreachable(const UpstreamName &upstream, TimePoint now)
{
    constexpr std::uint32_t MaxDoublings = 10;
    Record &record = records_[upstream];
    const Duration hold = settings_.baseUnreachableHold * (1U << std::min(record.unreachableCount, MaxDoublings));
    ++record.unreachableCount;
    record.ejectedUntil = now + std::min(hold, settings_.maxUnreachableHold);
}

void PlacementView::onReached(const UpstreamName &upstream)
{
    Record &record = records_[upstream];
    record.unreachableCount = 0;
}

void PlacementView::onDraining(const UpstreamName &upstream, Duration hold, TimePoint now)
{
    Record &record = records_[upstream];
    record.ejectedUntil = std::max(record.ejectedUntil, now + hold);
}

PlacementView::Load PlacementView::loadFrom(const LoadReport &report) const
{
    const double slots = std::max(report.slots, 1U);
    const bool isFull = report.inFlight >= report.slots;
    Load load;
    load.slowdown = report.slowdownPercent > 0 ? report.slowdownPercent / Percent : 1.0;
    load.slowPeriodSeconds = inSeconds(Microseconds(report.slowPeriodLeftMicroseconds));
    load.recoveredSlowdown =
        report.recoveredSlowdownPercent > 0 ? report.recoveredSlowdownPercent / Percent : load.slowdown;
    load.urgentCallsAhead = isFull ? 1.0 / slots : 0.0;
    load.callsAhead = isFull ? (1.0 + report.queued) / slots : 0.0;
    load.hasUrgentWait = report.urgentWaitMicroseconds > 0;
    load.urgentWaitSeconds = load.hasUrgentWait
        ? inSeconds(Microseconds(report.urgentWaitMicroseconds))
        : load.callsAhead * workSeconds(load, inSeconds(Microseconds(report.meanServiceMicroseconds)));
    load.failureShare = report.failurePercent / Percent;
    load.linkBacklogSeconds = inSeconds(Microseconds(report.linkBacklogMicroseconds));
    if (settings_.countsDelay) {
        load.delaySeconds = inSeconds(Microseconds(report.arrivalDelayMicroseconds));
    }
    return load;
}

PlacementView::Load PlacementView::estimatedLoad(const Record &record, TimePoint now) const
{
    const double reportWeight = record.hasReport ? freshness(record.reportTime, settings_.reportMemory, now) : 0.0;
    Load load = weightedLoad(reportWeight, record.load, typicalLoad_);
    // Links and processors of nodes differ permanently, so an old delay of this node is a better estimate than the
    // typical delay of the others.
    load.delaySeconds = record.hasReport ? record.load.delaySeconds : typicalLoad_.delaySeconds;
    load.linkBacklogSeconds = reportWeight * record.load.linkBacklogSeconds;
    const double sinceReport = std::max(0.0, static_cast<double>(record.inFlight) - record.inFlightAtReport);
    load.ownCallsAhead = settings_.ownRequestWeight * sinceReport / record.slots;
    load.callsAhead += load.ownCallsAhead;
    load.urgentCallsAhead += load.ownCallsAhead;
    load.hasUrgentWait = record.hasReport ? record.load.hasUrgentWait : typicalLoad_.hasUrgentWait;
    return load;
}

PlacementView::Load PlacementView::weightedLoad(double share, const Load &one, const Load &other)
{
    Load load;
    load.slowdown = weightedMean(share, one.slowdown, other.slowdown);
    load.slowPeriodSeconds = weightedMean(share, one.slowPeriodSeconds, other.slowPeriodSeconds);
    load.recoveredSlowdown = weightedMean(share, one.recoveredSlowdown, other.recoveredSlowdown);
    load.urgentCallsAhead = weightedMean(share, one.urgentCallsAhead, other.urgentCallsAhead);
    load.callsAhead = weightedMean(share, one.callsAhead, other.callsAhead);
    load.urgentWaitSeconds = weightedMean(share, one.urgentWaitSeconds, other.urgentWaitSeconds);
    load.hasUrgentWait = one.hasUrgentWait || other.hasUrgentWait;
    load.failureShare = weightedMean(share, one.failureShare, other.failureShare);
    load.delaySeconds = weightedMean(share, one.delaySeconds, other.delaySeconds);
    return load;
}

double PlacementView::workSeconds(const Load &load, double baselineSeconds)
{
    return std::min(baselineSeconds * load.slowdown, load.slowPeriodSeconds + baselineSeconds * load.recoveredSlowdown);
}

double PlacementView::queueSeconds(const Load &load, const PlacementDemand &demand) const
{
    const double aheadSeconds = meanServiceSeconds_ > 0.0 ? meanServiceSeconds_ : inSeconds(demand.baselineTime);
    const double callSeconds = workSeconds(load, aheadSeconds);
    if (demand.priority == 0 && load.hasUrgentWait) {
        return load.urgentWaitSeconds + callSeconds * load.ownCallsAhead;
    }
    return callSeconds * (demand.isUrgent ? load.urgentCallsAhead : load.callsAhead);
}

Duration PlacementView::expected(const UpstreamName &upstream, const PlacementDemand &demand, TimePoint now) const
{
    const auto found = records_.find(upstream);
    const Load load = found == records_.end() ? typicalLoad_ : estimatedLoad(found->second, now);
    const double failures = found == records_.end() ? 0.0 : recentFailures(found->second, now);
    const double baseline = inSeconds(demand.baselineTime);
    const double penalty = 1.0 + settings_.failureShareFactor * load.failureShare + settings_.failurePenalty * failures;
    const double linkSeconds = demand.isLargeAnswer ? load.linkBacklogSeconds : 0.0;
    // The reported wait of urgent requests for a turn covers their wait for a slot.
    const Duration turn = found == records_.end() ? Duration{0} : turnWait(found->second, demand, now);
    const double slotSeconds = turn > Duration{0} ? 0.0 : queueSeconds(load, demand);
    return turn + fromSeconds(load.delaySeconds + linkSeconds + (slotSeconds + workSeconds(load, baseline)) * penalty);
}

Duration PlacementView::turnWait(const Record &record, const PlacementDemand &demand, TimePoint now)
{
    if (demand.priority > 0 || !record.limitedForUrgentUntil) {
        return Duration{0};
    }
    return std::max<Duration>(*record.limitedForUrgentUntil - now, Duration{0});
}

bool PlacementView::isEjected(const UpstreamName &upstream, TimePoint now, std::uint32_t priority) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end()) {
        return false;
    }
    const Record &record = found->second;
    const bool ignoresLimit = priority == 0 && record.limitedForUrgentUntil;
    return now < record.ejectedUntil || (now < record.limitedUntil && !ignoresLimit);
}

bool PlacementView::isUnknown(const UpstreamName &upstream) const
{
    const auto found = records_.find(upstream);
    return found == records_.end() || !found->second.hasReport;
}

double PlacementView::staleness(const UpstreamName &upstream, TimePoint now) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end() || !found->second.hasReport) {
        return 1.0;
    }
    return 1.0 - freshness(found->second.reportTime, settings_.reportMemory, now);
}

double PlacementView::recentFailures(const Record &record, TimePoint now) const
{
    return record.failures == 0.0 ? 0.0 : record.failures * freshness(record.failureTime, settings_.failureMemory, now);
}

}

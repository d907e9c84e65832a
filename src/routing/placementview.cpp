#include "routing/placementview.h"

#include <algorithm>
#include <cmath>

#include "core/durations.h"

namespace Egretpath
{

namespace
{

/// One at @p seen, falling to 1/e after @p memory.
double freshness(TimePoint seen, Duration memory, TimePoint now)
{
    const std::chrono::duration<double> age = std::max(now - seen, Duration{0});
    return std::exp(-age / std::chrono::duration<double>(memory));
}

constexpr double Percent = 100.0;

double mix(double share, double one, double other)
{
    return share * one + (1.0 - share) * other;
}

}

PlacementView::PlacementView(PlacementViewSettings settings)
    : settings_(settings)
{
    if (settings_.assumesTypical) {
        typical_.slowdown = settings_.typicalSlowdown;
        typical_.recoveredSlowdown = settings_.typicalSlowdown;
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
    record.load = loadIn(report);
    record.hasReport = true;
    const double gain = settings_.typicalGain;
    if (settings_.assumesTypical) {
        typical_ = mixed(gain, record.load, typical_);
    }
    if (report.meanServiceMicroseconds > 0) {
        const double mean = inSeconds(Microseconds(report.meanServiceMicroseconds));
        meanServiceSeconds_ = meanServiceSeconds_ > 0.0 ? mix(gain, mean, meanServiceSeconds_) : mean;
    }
    record.slots = std::max(report.slots, 1U);
    record.reportTime = now;
    record.inFlightAtReport = record.inFlight;
}

void PlacementView::onFailed(const UpstreamName &upstream, TimePoint now)
{
    Record &record = records_[upstream];
    record.failures = failuresOf(record, now) + 1.0;
    record.failureTime = now;
}

void PlacementView::onUnreachable(const UpstreamName &upstream, TimePoint now)
{
    constexpr std::uint32_t MostDoublings = 10;
    Record &record = records_[upstream];
    const Duration hold = settings_.unreachableBase * (1U << std::min(record.unreachable, MostDoublings));
    ++record.unreachable;
    record.ejectedUntil = now + std::min(hold, settings_.unreachableLimit);
}

void PlacementView::onReached(const UpstreamName &upstream)
{
    Record &record = records_[upstream];
    record.unreachable = 0;
}

void PlacementView::onDraining(const UpstreamName &upstream, Duration hold, TimePoint now)
{
    Record &record = records_[upstream];
    record.ejectedUntil = std::max(record.ejectedUntil, now + hold);
}

PlacementView::Load PlacementView::loadIn(const LoadReport &report) const
{
    const double slots = std::max(report.slots, 1U);
    const bool full = report.inFlight >= report.slots;
    Load load;
    load.slowdown = report.slowdownPercent > 0 ? report.slowdownPercent / Percent : 1.0;
    load.slowPeriodSeconds = inSeconds(Microseconds(report.slowPeriodLeftMicroseconds));
    load.recoveredSlowdown =
        report.recoveredSlowdownPercent > 0 ? report.recoveredSlowdownPercent / Percent : load.slowdown;
    load.urgentWait = full ? 1.0 / slots : 0.0;
    load.wait = full ? (1.0 + report.queued) / slots : 0.0;
    load.failureShare = report.failurePercent / Percent;
    if (settings_.countsDelay) {
        load.delaySeconds = inSeconds(Microseconds(report.arrivalDelayMicroseconds));
    }
    return load;
}

PlacementView::Load PlacementView::loadOf(const Record &record, TimePoint now) const
{
    const double fresh = record.hasReport ? freshness(record.reportTime, settings_.reportMemory, now) : 0.0;
    Load load = mixed(fresh, record.load, typical_);
    // Links and processors of nodes differ for good, so that an old delay still says more than the others' do.
    load.delaySeconds = record.hasReport ? record.load.delaySeconds : typical_.delaySeconds;
    const double sinceReport = std::max(0.0, static_cast<double>(record.inFlight) - record.inFlightAtReport);
    load.wait += settings_.ownRequestWeight * sinceReport / record.slots;
    load.urgentWait += settings_.ownRequestWeight * sinceReport / record.slots;
    return load;
}

PlacementView::Load PlacementView::mixed(double share, const Load &one, const Load &other)
{
    Load load;
    load.slowdown = mix(share, one.slowdown, other.slowdown);
    load.slowPeriodSeconds = mix(share, one.slowPeriodSeconds, other.slowPeriodSeconds);
    load.recoveredSlowdown = mix(share, one.recoveredSlowdown, other.recoveredSlowdown);
    load.urgentWait = mix(share, one.urgentWait, other.urgentWait);
    load.wait = mix(share, one.wait, other.wait);
    load.failureShare = mix(share, one.failureShare, other.failureShare);
    load.delaySeconds = mix(share, one.delaySeconds, other.delaySeconds);
    return load;
}

double PlacementView::workSeconds(const Load &load, double baselineSeconds)
{
    return std::min(baselineSeconds * load.slowdown, load.slowPeriodSeconds + baselineSeconds * load.recoveredSlowdown);
}

Duration PlacementView::expected(const UpstreamName &upstream, const PlacementDemand &demand, TimePoint now) const
{
    const auto found = records_.find(upstream);
    const Load load = found == records_.end() ? typical_ : loadOf(found->second, now);
    const double failures = found == records_.end() ? 0.0 : failuresOf(found->second, now);
    const double baseline = inSeconds(demand.baselineTime);
    const double ahead = meanServiceSeconds_ > 0.0 ? meanServiceSeconds_ : baseline;
    const double wait = workSeconds(load, ahead) * (demand.urgent ? load.urgentWait : load.wait);
    const double penalty = 1.0 + settings_.failureShareFactor * load.failureShare + settings_.failurePenalty * failures;
    return fromSeconds(load.delaySeconds + (wait + workSeconds(load, baseline)) * penalty);
}

bool PlacementView::isEjected(const UpstreamName &upstream, TimePoint now) const
{
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.ejectedUntil;
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

double PlacementView::failuresOf(const Record &record, TimePoint now) const
{
    return record.failures == 0.0 ? 0.0 : record.failures * freshness(record.failureTime, settings_.failureMemory, now);
}

}

#include "routing/placementview.h"

#include <algorithm>
#include <cmath>

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

/// A report of a queue of seconds should not outweigh everything for long.
constexpr double LargestSlowdown = 30.0;

}

PlacementView::PlacementView(PlacementViewSettings settings)
    : settings_(settings)
    , typicalSlowdown_(settings.typicalSlowdown)
{
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
    if (report.serviceTimeMicroseconds > 0) {
        const double factor = static_cast<double>(report.expectedMicroseconds) / report.serviceTimeMicroseconds;
        record.slowdown = std::min(factor, LargestSlowdown);
        record.hasReport = true;
        typicalSlowdown_ += settings_.typicalGain * (record.slowdown - typicalSlowdown_);
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
    record.shutUntil = now + std::min(hold, settings_.unreachableLimit);
}

void PlacementView::onReached(const UpstreamName &upstream)
{
    Record &record = records_[upstream];
    record.unreachable = 0;
}

void PlacementView::onClosed(const UpstreamName &upstream, Duration hold, TimePoint now)
{
    Record &record = records_[upstream];
    record.shutUntil = std::max(record.shutUntil, now + hold);
}

double PlacementView::slowdown(const UpstreamName &upstream, TimePoint now) const
{
    const auto found = records_.find(upstream);
    if (found == records_.end()) {
        return typicalSlowdown_;
    }
    const Record &record = found->second;
    const double fresh = record.hasReport ? freshness(record.reportTime, settings_.reportMemory, now) : 0.0;
    const double reported = fresh * record.slowdown + (1.0 - fresh) * typicalSlowdown_;
    const double sinceReport = std::max(0.0, static_cast<double>(record.inFlight) - record.inFlightAtReport);
    return reported + settings_.ownRequestPenalty * sinceReport / record.slots
        + settings_.failurePenalty * failuresOf(record, now);
}

bool PlacementView::isShut(const UpstreamName &upstream, TimePoint now) const
{
    const auto found = records_.find(upstream);
    return found != records_.end() && now < found->second.shutUntil;
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

#include "routing/loadview.h"

#include <algorithm>
#include <cmath>

namespace Egretpath
{

namespace
{

double microseconds(Duration duration)
{
    return std::chrono::duration<double, std::micro>(duration).count();
}

void smooth(double &average, double sample, double gain)
{
    average += gain * (sample - average);
}

bool tellsOfLoad(Reason reason)
{
    return reason == Reason::Overloaded || reason == Reason::Draining;
}

}

LoadView::LoadView(LoadViewSettings settings)
    : settings_(settings)
{
}

UpstreamLoad &LoadView::recordOf(const UpstreamName &upstream, TimePoint now)
{
    const auto [place, inserted] = loads_.try_emplace(upstream);
    if (inserted) {
        place->second.warmUpStart = now;
        place->second.progressTime = now;
    }
    return place->second;
}

void LoadView::onSent(const UpstreamName &upstream, TimePoint now)
{
    UpstreamLoad &load = recordOf(upstream, now);
    if (load.inFlight == 0) {
        load.progressTime = now;
    }
    ++load.inFlight;
    ++load.sent;
    load.lastSent = now;
}

void LoadView::onCancelled(const UpstreamName &upstream, TimePoint now)
{
    UpstreamLoad &load = recordOf(upstream, now);
    // An event of the replaced incarnation can come after onReplaced() set the count to zero.
    if (load.inFlight > 0) {
        --load.inFlight;
    }
}

void LoadView::onAnswered(const UpstreamName &upstream, Duration latency, const std::optional<LoadReport> &report,
                          TimePoint now)
{
    onCancelled(upstream, now);
    UpstreamLoad &load = recordOf(upstream, now);
    ++load.answered;
    const double sample = microseconds(latency);
    smooth(load.latencyMicroseconds, sample, load.hasLatency ? settings_.latencyGain : 1.0);
    ++answers_;
    // The plain mean at first, so that the first sample does not weigh for long.
    smooth(typicalLatencyMicroseconds_, sample,
           std::max(settings_.typicalLatencyGain, 1.0 / static_cast<double>(answers_)));
    load.hasLatency = true;
    load.latencyTime = now;
    load.progressTime = now;
    load.refusedUntil = now;
    takeReport(load, report, now);
}

void LoadView::onErrorAnswer(const UpstreamName &upstream, const std::optional<LoadReport> &report, TimePoint now)
{
    onFailed(upstream, Reason::None, now);
    takeReport(recordOf(upstream, now), report, now);
}

void LoadView::onRefused(const UpstreamName &upstream, Reason reason, Milliseconds retryAfter,
                         const std::optional<LoadReport> &report, TimePoint now)
{
    onCancelled(upstream, now);
    UpstreamLoad &load = recordOf(upstream, now);
    ++load.refused;
    load.progressTime = now;
    takeReport(load, report, now);
    if (!tellsOfLoad(reason)) {
        return;
    }
    const Duration wanted = reason == Reason::Draining ? settings_.refusalHoldMaximum : Duration{retryAfter};
    load.refusedUntil = now + std::clamp(wanted, settings_.refusalHoldMinimum, settings_.refusalHoldMaximum);
}

void LoadView::onFailed(const UpstreamName &upstream, Reason reason, TimePoint now)
{
    onCancelled(upstream, now);
    if (reason == Reason::Cancelled) {
        return;
    }
    UpstreamLoad &load = recordOf(upstream, now);
    ++load.failed;
    load.progressTime = now;
    addFailure(load, now);
}

void LoadView::onProbeSent(const UpstreamName &upstream, TimePoint now)
{
    recordOf(upstream, now).lastProbe = now;
}

void LoadView::onProbe(const UpstreamName &upstream, const LoadReport &report, TimePoint now)
{
    takeReport(recordOf(upstream, now), report, now);
}

void LoadView::onReplaced(const UpstreamName &upstream, Incarnation incarnation, TimePoint now)
{
    UpstreamLoad &load = recordOf(upstream, now);
    if (load.incarnation == incarnation) {
        return;
    }
    const bool learnsOnlyTheNumber = load.incarnation == Incarnation{} && load.answered > 0;
    if (!learnsOnlyTheNumber) {
        load = UpstreamLoad{};
        load.warmUpStart = now;
        load.progressTime = now;
        load.warmingUp = true;
    }
    load.incarnation = incarnation;
}

void LoadView::forget(const UpstreamName &upstream)
{
    loads_.erase(upstream);
}

const UpstreamLoad *LoadView::find(const UpstreamName &upstream) const
{
    const auto place = loads_.find(upstream);
    return place == loads_.end() ? nullptr : &place->second;
}

bool LoadView::wantsReport(const UpstreamName &upstream, TimePoint now) const
{
    const UpstreamLoad *load = find(upstream);
    return load == nullptr || !load->hasReport || now - load->reportTime >= settings_.reportInterval;
}

double LoadView::failureEvidence(const UpstreamLoad &load, TimePoint now) const
{
    if (load.failureEvidence == 0.0) {
        return 0.0;
    }
    return load.failureEvidence
        * std::exp(-microseconds(now - load.failureTime) / microseconds(settings_.failureMemory));
}

void LoadView::takeReport(UpstreamLoad &load, const std::optional<LoadReport> &report, TimePoint now)
{
    if (!report) {
        return;
    }
    load.report = *report;
    load.reportTime = now;
    load.hasReport = true;
    load.inFlightAtReport = load.inFlight;
    if (report->slots > 0) {
        const double occupancy = static_cast<double>(report->inFlight + report->queued) / report->slots;
        smooth(typicalOccupancy_, occupancy, settings_.occupancyGain);
    }
}

void LoadView::addFailure(UpstreamLoad &load, TimePoint now)
{
    load.failureEvidence = failureEvidence(load, now) + 1.0;
    load.failureTime = now;
}

}

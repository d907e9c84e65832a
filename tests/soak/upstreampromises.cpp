#include "soak/upstreampromises.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

constexpr std::chrono::seconds ColdWindow{1};
constexpr std::chrono::seconds LimitWindow{4};

std::size_t countSince(const std::deque<TimePoint> &arrivals, TimePoint from)
{
    return static_cast<std::size_t>(arrivals.end() - std::lower_bound(arrivals.begin(), arrivals.end(), from));
}

}

UpstreamPromises::UpstreamPromises(UpstreamBounds bounds, const FaultHistory &faultHistory)
    : bounds_(bounds)
    , faultHistory_(faultHistory)
{
}

void UpstreamPromises::place(const UpstreamName &upstream, NodeNumber node, const std::string &zone)
{
    Upstream &known = upstreams_[upstream];
    known.node = node;
    known.zone = zone;
}

void UpstreamPromises::startWarmUp(const UpstreamName &upstream, TimePoint from, TimePoint to)
{
    upstreams_[upstream].coldFrom = from;
    upstreams_[upstream].coldUntil = to;
}

void UpstreamPromises::nameLimit(const UpstreamName &upstream, std::optional<double> limit, TimePoint at)
{
    upstreams_[upstream].limit = limit;
    upstreams_[upstream].limitedSince = at;
}

void UpstreamPromises::stateLeaving(const UpstreamName &upstream, bool isLeaving, TimePoint at)
{
    upstreams_[upstream].leavingSince = isLeaving ? std::optional(at) : std::nullopt;
}

std::vector<UpstreamPromises::Finding> UpstreamPromises::check(const UpstreamArrival &arrival)
{
    Upstream &upstream = upstreams_[arrival.upstream];
    upstream.arrivals.push_back(arrival.at);
    while (arrival.at - upstream.arrivals.front() > LimitWindow) {
        upstream.arrivals.pop_front();
    }
    std::vector<Finding> findings;
    checkZone(upstream, arrival, findings);
    checkWarmUp(upstream, arrival, findings);
    checkStatements(upstream, arrival, findings);
    return findings;
}

void UpstreamPromises::checkZone(const Upstream &upstream, const UpstreamArrival &arrival,
                                 std::vector<Finding> &findings) const
{
    const auto region = regions_.find(arrival.route);
    if (region != regions_.end() && !upstream.zone.starts_with(region->second)) {
        findings.push_back({"only in the regions of a route", arrival.upstream.value() + " in " + upstream.zone});
    }
    const auto evacuated = evacuatedSince_.find(upstream.zone);
    if (evacuated == evacuatedSince_.end()) {
        return;
    }
    const TimePoint begin = evacuated->second;
    const bool isLate = arrival.sentAt > begin + bounds_.evacuation + bounds_.slack;
    // Both nodes look, so that one of them is enough.
    const bool shouldBeKnown =
        isInTouch(arrival.ingress, begin, arrival.at) || isInTouch(upstream.node, begin, arrival.at);
    if (isLate && shouldBeKnown) {
        findings.push_back({"nothing for evacuated zones", arrival.upstream.value() + " in " + upstream.zone});
    }
}

void UpstreamPromises::checkWarmUp(const Upstream &upstream, const UpstreamArrival &arrival,
                                   std::vector<Finding> &findings) const
{
    if (arrival.at < upstream.coldFrom || arrival.at >= upstream.coldUntil) {
        return;
    }
    const TimePoint from = std::max<TimePoint>(arrival.at - ColdWindow, upstream.coldFrom);
    const std::size_t count = countSince(upstream.arrivals, from);
    if (static_cast<double>(count) > allowedIn(bounds_.coldRate, ColdWindow)) {
        findings.push_back({"a cold upstream gets its rate",
                            arrival.upstream.value() + " got " + std::to_string(count) + " requests in a second"});
    }
}

void UpstreamPromises::checkStatements(const Upstream &upstream, const UpstreamArrival &arrival,
                                       std::vector<Finding> &findings) const
{
    const Duration bound = bounds_.statement + bounds_.slack;
    if (upstream.limit && isUntouched(upstream, upstream.limitedSince, arrival.at)) {
        const TimePoint from = std::max<TimePoint>(arrival.at - LimitWindow, upstream.limitedSince + bound);
        const std::size_t count = countSince(upstream.arrivals, from);
        if (static_cast<double>(count) > allowedIn(*upstream.limit, LimitWindow)) {
            findings.push_back({"an upstream's limit holds",
                                arrival.upstream.value() + " got " + std::to_string(count) + " requests in 4 s"});
        }
    }
    const bool isLeaving = upstream.leavingSince && arrival.sentAt > *upstream.leavingSince + bound;
    if (isLeaving && isUntouched(upstream, *upstream.leavingSince, arrival.at)) {
        findings.push_back({"nothing for those that say they leave", arrival.upstream.value()});
    }
}

double UpstreamPromises::allowedIn(double rate, Duration window) const
{
    const double seconds = std::chrono::duration<double>(window).count();
    return rate * seconds * bounds_.rateFactor + bounds_.rateSlack;
}

bool UpstreamPromises::isUntouched(const Upstream &upstream, TimePoint from, TimePoint to) const
{
    return faultHistory_.isFaultFree(upstream.node, FaultCategory::Unplanned, from, to)
        && faultHistory_.isFaultFree(upstream.node, FaultCategory::Planned, from, to);
}

bool UpstreamPromises::isInTouch(NodeNumber node, TimePoint from, TimePoint to) const
{
    return faultHistory_.isFaultFree(node, FaultCategory::Unplanned, from, to)
        && faultHistory_.isFaultFree(node, FaultCategory::Store, from, to);
}

}

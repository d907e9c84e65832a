#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "soak/faulthistory.h"
#include "soak/publishedversions.h"

namespace Egretpath
{

/// Bounds of the promises about what upstreams get.
struct UpstreamBounds
{
    /// Time after which an evacuated zone gets no more requests.
    Milliseconds evacuation{2000};
    /// Time after which an upstream that names a limit, or says that it leaves, gets no more than it takes.
    Milliseconds statement{1000};
    /// Added to each of these times.
    Milliseconds slack{500};
    /// A cold upstream, or one that names a limit, may get its rate times this factor and this number of requests more.
    double rateFactor = 1.5;
    double rateSlack = 8.0;
    /// The requests a second that a cold upstream takes.
    double coldRate = 5.0;
};

/// A request that arrived at the upstream for which it was meant.
struct UpstreamArrival
{
    UpstreamName upstream;
    RouteKey route;
    /// The node that the caller sent the request to, and when.
    NodeNumber ingress = 0;
    TimePoint sentAt;
    TimePoint at;
};

/// Checks what upstreams get against the operators' evacuations, the regions of routes, and what the upstreams say of
/// themselves. Thread safety: none. Errors: none.
class UpstreamPromises
{
public:
    /// A broken promise.
    struct Finding
    {
        const char *promise = nullptr;
        std::string detail;
    };

    UpstreamPromises(UpstreamBounds bounds, const FaultHistory &faultHistory);

    /// Records where @p upstream runs. The name of a zone begins with the name of its region.
    void place(const UpstreamName &upstream, NodeNumber node, const std::string &zone);
    /// The requests of @p route may run in @p region only.
    void restrict(const RouteKey &route, const std::string &region) { regions_[route] = region; }
    void beginEvacuation(const std::string &zone, TimePoint at) { evacuatedSince_[zone] = at; }
    void endEvacuation(const std::string &zone) { evacuatedSince_.erase(zone); }
    void startWarmUp(const UpstreamName &upstream, TimePoint from, TimePoint to);
    /// From @p at on, @p upstream names a limit of requests a second; nothing if it names none any more.
    void nameLimit(const UpstreamName &upstream, std::optional<double> limit, TimePoint at);
    /// From @p at on, @p upstream says that it leaves, or that it stays.
    void stateLeaving(const UpstreamName &upstream, bool isLeaving, TimePoint at);

    /// Returns the promises that @p arrival breaks.
    [[nodiscard]] std::vector<Finding> check(const UpstreamArrival &arrival);

private:
    /// What an upstream said of itself.
    struct Upstream
    {
        NodeNumber node = 0;
        std::string zone;
        TimePoint coldFrom;
        TimePoint coldUntil;
        std::optional<double> limit;
        TimePoint limitedSince;
        std::optional<TimePoint> leavingSince;
        /// The latest arrivals, as far back as the longest window reaches.
        std::deque<TimePoint> arrivals;
    };

    void checkZone(const Upstream &upstream, const UpstreamArrival &arrival, std::vector<Finding> &findings) const;
    void checkWarmUp(const Upstream &upstream, const UpstreamArrival &arrival, std::vector<Finding> &findings) const;
    void checkStatements(const Upstream &upstream, const UpstreamArrival &arrival,
                         std::vector<Finding> &findings) const;
    [[nodiscard]] double allowedIn(double rate, Duration window) const;
    /// Whether neither a fault nor a planned restart hit the node beside the upstream.
    [[nodiscard]] bool isUntouched(const Upstream &upstream, TimePoint from, TimePoint to) const;
    [[nodiscard]] bool isInTouch(NodeNumber node, TimePoint from, TimePoint to) const;

    UpstreamBounds bounds_;
    const FaultHistory &faultHistory_;
    std::map<UpstreamName, Upstream> upstreams_;
    std::map<RouteKey, std::string> regions_;
    std::map<std::string, TimePoint> evacuatedSince_;
};

}

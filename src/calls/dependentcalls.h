#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "admission/offeroutcome.h"
#include "calls/callevidence.h"
#include "calls/calloutcomes.h"
#include "core/clock.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// Whether the requests of a route are calls by the upstream beside the node.
enum class CallStanding : std::uint8_t {
    /// Too little is known.
    Unknown,
    /// The node's own evidence shows that they are.
    Dependent,
    /// Other nodes have evidence that they are, and this node has none.
    Adopted,
    /// The node's own evidence shows that they are not.
    Independent,
};

/// Whether an upstream's own work waits for the answers to requests of a route with @p standing. Thread safety: safe.
[[nodiscard]] constexpr bool isDependent(CallStanding standing)
{
    return standing == CallStanding::Dependent || standing == CallStanding::Adopted;
}
/// Returns the stable word for @p standing in logs. Thread safety: safe.
[[nodiscard]] std::string_view toString(CallStanding standing);

/// What was decided about a request that arrived at the ingress.
struct CallDecision
{
    CallStanding standing = CallStanding::Unknown;
    /// Whether the route has become a route of dependent calls, or is one no longer, or is one by other evidence.
    bool hasChanged = false;
    /// The priority of the requests that make such calls; nothing if they are unknown or none runs.
    std::optional<std::uint8_t> parentPriority;

    /// Whether an upstream's own work waits for the answer.
    [[nodiscard]] bool isDependent() const { return Egretpath::isDependent(standing); }
};

/// A route of dependent calls, for operators.
struct DependentRouteState
{
    RouteName route;
    CallStanding standing = CallStanding::Unknown;
    std::optional<std::uint8_t> parentPriority;
    /// The share of the calls of the last seconds that ended without an answer.
    double unansweredShare = 0.0;
    /// Whether requests that make such calls are refused.
    bool isFailing = false;
};

/// Learns which routes are calls by the upstream beside the node, which priority they inherit, how many calls a request
/// makes and how its calls fare.
///
/// Load pattern: the upstream calls other services on behalf of a request, and fails the request if a call fails. The
/// calls arrive at the node like callers' requests and carry no reference to the request that makes them. They arrive
/// only while such a request runs, and its time left is at least their timeout. If they don't get the urgency of that
/// request, its slot and its work are wasted; if their callee is lost, running such requests is a waste as well.
///
/// Preconditions: times don't decrease. Thread safety: none; one owner. Errors: none.
class DependentCalls
{
public:
    /// Names the upstream beside the node. A different upstream than before may run other software, so everything that
    /// was learned is removed.
    void setUpstream(const UpstreamName &upstream);

    /// The request @p call was handed over to the upstream.
    void onStarted(CallId call, const RouteName &route, std::uint8_t priority, TimePoint deadline, TimePoint now);
    /// The request @p call is at the upstream no longer. Ignored if it is unknown.
    void onEnded(CallId call);

    /// Records a request that arrived at the ingress and gives up after @p timeout, and decides whether it is a call by
    /// the upstream.
    [[nodiscard]] CallDecision onArrival(const RouteName &route, Duration timeout, TimePoint now);
    /// Records that another node reported the requests of @p route to be dependent calls. Kept for 60 s.
    void adopt(const RouteName &route, TimePoint now);
    /// Records how a dependent call ended: whether it got an answer.
    void onCallEnded(const RouteName &route, bool isAnswered, TimePoint now);

    /// Whether requests of @p route make calls that will probably not all get an answer.
    [[nodiscard]] bool wouldRefuse(const RouteName &route, TimePoint now) const;
    /// Like wouldRefuse(), but one request in ten is let through as a probe. Call it once for each request.
    [[nodiscard]] bool refuses(const RouteName &route, TimePoint now);

    /// Returns all routes of dependent calls, in the order in which they were first seen.
    [[nodiscard]] std::vector<DependentRouteState> states(TimePoint now) const;

private:
    struct RouteState
    {
        RouteName name;
        CallEvidence evidence;
        CallOutcomes outcomes;
        std::optional<TimePoint> adoptedAt;
        CallStanding lastStanding = CallStanding::Unknown;
        /// The routes of the calls that requests of this route make.
        std::vector<CallRouteIndex> callees;
        std::uint32_t refusals = 0;
    };
    struct RunningRequest
    {
        CallId call;
        CallRouteIndex route;
        std::uint8_t priority = 0;
        TimePoint deadline;
    };
    struct RecentArrival
    {
        CallRouteIndex route;
        Duration timeout{0};
    };

    [[nodiscard]] CallRouteIndex indexOf(const RouteName &route);
    [[nodiscard]] RouteState &stateOf(CallRouteIndex route) { return routes_[route.value()]; }
    [[nodiscard]] const RouteState *find(const RouteName &route) const;
    /// Sets suitable_ to the routes with a running request whose time left is at least @p timeout.
    void findSuitable(Duration timeout, TimePoint now);
    /// Compares this arrival with those of other routes, which could have come now by chance.
    void sampleChance(CallRouteIndex arrived, TimePoint now);
    void recordCallees(CallRouteIndex callee);
    [[nodiscard]] static CallStanding standingOf(const RouteState &route, TimePoint now);
    [[nodiscard]] static std::optional<std::uint8_t> parentPriority(const RouteState &route);
    void clear();

    static constexpr std::size_t RecentCount = 16;

    UpstreamName upstream_;
    std::unordered_map<RouteName, CallRouteIndex> indexes_;
    std::vector<RouteState> routes_;
    std::vector<RunningRequest> running_;
    std::vector<SuitableRoute> suitable_;
    /// The latest arrivals. They are drawn in turn as samples, so that each route is sampled as often as it is used.
    std::array<RecentArrival, RecentCount> recent_{};
    std::size_t recentCount_ = 0;
    std::size_t nextRecent_ = 0;
    std::size_t nextSample_ = 0;
};

}

#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "calls/decayingcount.h"
#include "core/clock.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The index of a route in DependentCalls.
using CallRouteIndex = StrongType<struct CallRouteIndexTag, std::uint32_t>;

/// A route that has at least one request at the upstream which could make a given call.
struct SuitableRoute
{
    CallRouteIndex route;
    /// The priority of its least urgent such request.
    std::uint8_t priority = 0;
};

/// What is known about a route whose requests may make the calls of another route.
struct CallParent
{
    CallRouteIndex route;
    /// The priority of its latest suitable request.
    std::uint8_t priority = 0;
    /// Decaying counts of the calls that arrived while a suitable request of this route was running, and of the other
    /// arrivals at which one was running.
    double hits = 0.0;
    double chanceHits = 0.0;
    /// Whether the calls inherit the priority of this route.
    bool isParent = false;
    /// Requests of this route handed over to the upstream, and the answers that calls got: the long-term counts while
    /// the calls fare well, and those of the last seconds.
    double starts = 0.0;
    double answers = 0.0;
    DecayingCount recentStarts;
};

/// Decides whether the requests of one route are calls by the upstream beside the node.
///
/// Such a call arrives only while a request that makes it is running. The arrivals of other routes show how often a
/// suitable request is running by chance. The comparison is made for all suitable requests together and for each of
/// their routes: beside an upstream that always runs some long request, only the latter shows a difference.
/// Thread safety: none; one owner. Errors: none.
class CallEvidence
{
public:
    enum class Standing : std::uint8_t {
        /// There is too little evidence.
        Unknown,
        Dependent,
        Independent,
    };

    /// Records an arrival of the route while requests of the routes in @p suitable were running.
    void recordArrival(std::span<const SuitableRoute> suitable);
    /// Records an arrival of another route; @p suitable: the routes that were suitable for a request of this route.
    void recordChance(std::span<const SuitableRoute> suitable);

    [[nodiscard]] Standing standing() const { return standing_; }
    [[nodiscard]] std::vector<CallParent> &parents() { return parents_; }
    [[nodiscard]] const std::vector<CallParent> &parents() const { return parents_; }
    /// Returns what is known about @p route as a parent; null if its requests were never seen running.
    [[nodiscard]] CallParent *findParent(CallRouteIndex route);

private:
    [[nodiscard]] CallParent *findOrAdd(CallRouteIndex route);
    /// Whether arrivals without a suitable request, @p violations, are far fewer than by chance.
    [[nodiscard]] bool isDependence(double violations, double chanceShare) const;
    void updateStanding();
    void updateParents();

    double arrivals_ = 0.0;
    double violations_ = 0.0;
    double samples_ = 0.0;
    double chanceViolations_ = 0.0;
    std::vector<CallParent> parents_;
    Standing standing_ = Standing::Unknown;
};

}

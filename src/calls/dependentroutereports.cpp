#include "calls/dependentroutereports.h"

#include <algorithm>

namespace Egretpath
{

namespace
{

constexpr std::chrono::seconds MaxAge{60};
/// Limits the memory. A service has hundreds of routes at most.
constexpr std::size_t MaxRoutes = 1024;
constexpr std::size_t MaxCallers = 256;

}

void DependentRouteReports::record(const ServiceName &caller, const RouteName &route, const NodeIdentity &ingress,
                                   TimePoint now)
{
    if (reports_.size() >= MaxCallers && !reports_.contains(caller)) {
        reports_.clear();
    }
    auto &routes = reports_[caller];
    if (routes.size() >= MaxRoutes && !routes.contains(route)) {
        routes.clear();
    }
    Reports &reports = routes[route];
    const auto byAge = [](const Report &left, const Report &right) { return left.receivedAt < right.receivedAt; };
    auto entry = std::find_if(reports.begin(), reports.end(), [&](const Report &item) {
        return item.ingress == ingress && item.receivedAt != TimePoint{};
    });
    if (entry == reports.end()) {
        entry = std::min_element(reports.begin(), reports.end(), byAge);
    }
    *entry = {ingress, now};
}

bool DependentRouteReports::isDependent(const ServiceName &caller, const RouteName &route, TimePoint now) const
{
    const auto routes = reports_.find(caller);
    if (routes == reports_.end()) {
        return false;
    }
    const auto found = routes->second.find(route);
    return found != routes->second.end()
        && std::all_of(found->second.begin(), found->second.end(), [now](const Report &item) {
               return item.receivedAt != TimePoint{} && now - item.receivedAt <= MaxAge;
           });
}

}

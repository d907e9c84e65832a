#include "routes/routechanges.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Egretpath
{

namespace
{

using Routes = std::vector<HostRoutePointer>;

/// Adds to @p changes the routes that differ. Both lists are sorted.
void compareRoutes(const Routes &before, const Routes &after, RouteChanges &changes)
{
    auto old = before.begin();
    for (const HostRoutePointer &route : after) {
        while (old != before.end() && comesBefore(**old, *route)) {
            changes.removed.push_back({(*old)->host, (*old)->route.prefix});
            ++old;
        }
        const bool isKnown = old != before.end() && !comesBefore(*route, **old);
        const bool isSame = isKnown && (*old)->contentHash == route->contentHash
            && (*old)->route.kind == route->route.kind && (*old)->route.regions == route->route.regions;
        if (!isSame) {
            changes.changed.push_back(route);
        }
        if (isKnown) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        changes.removed.push_back({(*old)->host, (*old)->route.prefix});
    }
}

void compareServices(const RouteTable::Services &before, const RouteTable::Services &after, RouteChanges &changes)
{
    for (const auto &[name, service] : after) {
        const auto known = before.find(name);
        if (known == before.end() || known->second != service) {
            changes.changedServices.push_back(service);
        }
    }
    for (const auto &[name, service] : before) {
        if (!after.contains(name)) {
            changes.removedServices.push_back(name);
        }
    }
}

/// The routes of @p before without those that @p changes remove or replace. Keeps the order.
Routes keptRoutes(const Routes &before, const RouteChanges &changes)
{
    using Key = std::pair<std::string_view, std::string_view>;
    std::vector<Key> dropped;
    dropped.reserve(changes.removed.size() + changes.changed.size());
    for (const RouteKey &key : changes.removed) {
        dropped.emplace_back(key.host, key.prefix);
    }
    for (const HostRoutePointer &route : changes.changed) {
        dropped.emplace_back(route->host, route->route.prefix);
    }
    std::sort(dropped.begin(), dropped.end());
    Routes kept;
    kept.reserve(before.size());
    std::copy_if(before.begin(), before.end(), std::back_inserter(kept), [&dropped](const HostRoutePointer &route) {
        return !std::binary_search(dropped.begin(), dropped.end(), Key(route->host, route->route.prefix));
    });
    return kept;
}

Routes mergedRoutes(const Routes &before, const RouteChanges &changes)
{
    const auto isBefore = [](const HostRoutePointer &left, const HostRoutePointer &right) {
        return comesBefore(*left, *right);
    };
    Routes changed = changes.changed;
    std::sort(changed.begin(), changed.end(), isBefore);
    const Routes kept = keptRoutes(before, changes);
    Routes merged;
    merged.reserve(kept.size() + changed.size());
    std::merge(kept.begin(), kept.end(), changed.begin(), changed.end(), std::back_inserter(merged), isBefore);
    return merged;
}

}

RouteChanges changesBetween(const RouteTable *before, const RouteTable &after)
{
    RouteChanges changes;
    changes.from = before != nullptr ? before->version() : RouteVersion();
    changes.to = after.version();
    changes.limits = after.limits();
    changes.contentHash = after.contentHash();
    compareRoutes(before != nullptr ? before->routes() : Routes(), after.routes(), changes);
    compareServices(before != nullptr ? before->services() : RouteTable::Services(), after.services(), changes);
    return changes;
}

Result<RouteTablePointer> tableAfter(const RouteTable *before, const RouteChanges &changes)
{
    const RouteVersion known = before != nullptr ? before->version() : RouteVersion();
    if (known != changes.from) {
        return notRun(Reason::BadRequest, "changes of routes for another version than the active one");
    }
    RouteTable::Services services = before != nullptr ? before->services() : RouteTable::Services();
    for (const ServiceName &name : changes.removedServices) {
        services.erase(name);
    }
    for (const ServiceEntry &service : changes.changedServices) {
        services.insert_or_assign(service.name, service);
    }
    Routes routes = mergedRoutes(before != nullptr ? before->routes() : Routes(), changes);
    auto table = std::make_shared<const RouteTable>(changes.to, std::move(routes), std::move(services), changes.limits);
    if (table->contentHash() != changes.contentHash) {
        return notRun(Reason::BadRequest, "changes of routes that don't add up to the sender's table");
    }
    return RouteTablePointer(std::move(table));
}

}

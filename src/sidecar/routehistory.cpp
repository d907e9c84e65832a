#include "sidecar/routehistory.h"

#include <algorithm>
#include <utility>

#include "rpc/routecoding.h"

namespace Egretpath
{

namespace
{

/// Nodes are seldom more than a few versions behind each other, also when the routes change several times a second.
constexpr std::size_t MaxTables = 8;

}

void RouteHistory::activate(RouteTablePointer table)
{
    packed_.clear();
    tables_.push_back(std::move(table));
    if (tables_.size() > MaxTables) {
        tables_.pop_front();
    }
}

void RouteHistory::activate(RouteTablePointer table, RouteVersion from, PackedRoutes changes)
{
    activate(std::move(table));
    packed_.emplace(from, std::move(changes));
}

const PackedRoutes &RouteHistory::changesSince(RouteVersion have)
{
    const auto known =
        std::find_if(tables_.begin(), tables_.end(), [have](const auto &table) { return table->version() == have; });
    const RouteTable *before = known != tables_.end() ? known->get() : nullptr;
    const RouteVersion from = before != nullptr ? have : RouteVersion();
    const auto packed = packed_.find(from);
    if (packed != packed_.end()) {
        return packed->second;
    }
    return packed_.emplace(from, packChanges(changesBetween(before, *tables_.back()))).first->second;
}

}

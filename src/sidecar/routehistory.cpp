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
    if (unparsed_ && unparsed_->to <= table->version()) {
        unparsed_.reset();
    }
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
    const RouteTable *before = find(have);
    const RouteVersion from = baseFor(have);
    const auto packed = packed_.find(from);
    if (packed != packed_.end()) {
        return packed->second;
    }
    return packed_.emplace(from, packChanges(changesBetween(before, *tables_.back()))).first->second;
}

RouteVersion RouteHistory::baseFor(RouteVersion have) const
{
    return find(have) != nullptr ? have : RouteVersion();
}

const UnparsedRoutes *RouteHistory::offerFor(RouteVersion have) const
{
    const bool areUsable = unparsed_ && unparsed_->from == have;
    return areUsable ? &*unparsed_ : nullptr;
}

const RouteTable *RouteHistory::find(RouteVersion version) const
{
    const auto known = std::find_if(tables_.begin(), tables_.end(),
                                    [version](const auto &table) { return table->version() == version; });
    return known != tables_.end() ? known->get() : nullptr;
}

}

#include "sidecar/catalogcontents.h"

#include <set>
#include <utility>

#include "core/currenttime.h"
#include "routes/routechanges.h"
#include "rpc/routecoding.h"

namespace Egretpath
{

CatalogContents::CatalogContents(SidecarState &state, const CatalogSource &source, CatalogLog &log,
                                 std::function<void()> onListChanged, std::function<void()> onChanged)
    : state_(state)
    , source_(source)
    , log_(log)
    , onListChanged_(std::move(onListChanged))
    , onChanged_(std::move(onChanged))
{
}

CatalogVersions CatalogContents::versions() const
{
    CatalogVersions versions;
    if (state_.routes) {
        versions.routes = state_.routes->version();
    }
    if (state_.directory.hasList()) {
        versions.list = state_.directory.revision();
    }
    versions.evacuations = state_.evacuatedZones.lastChange();
    return versions;
}

CatalogVersions CatalogContents::versionsForQuery() const
{
    CatalogVersions versions = this->versions();
    versions.evacuations = state_.evacuatedZones.reached();
    if (needsAllRoutes_) {
        versions.routes = RouteVersion();
    }
    return versions;
}

bool CatalogContents::isBehind(const CatalogVersions &versions) const
{
    const CatalogVersions own = this->versions();
    return own.routes < versions.routes || own.list < versions.list
        || state_.evacuatedZones.reached() < versions.evacuations;
}

bool CatalogContents::hasUpdatesFor(const CatalogVersions &have) const
{
    const CatalogVersions own = versions();
    const bool needsAll = have.routes.value() == 0 && have.list.value() == 0;
    const bool newerRoutes = own.routes > have.routes || routeHistory_.offerFor(have.routes) != nullptr;
    const bool newerList = own.list > have.list;
    const bool newerEvacuations = own.evacuations > have.evacuations;
    return needsAll ? newerRoutes && newerList : newerRoutes || newerList || newerEvacuations;
}

void CatalogContents::writeUpdates(const CatalogVersions &have, Catalog &catalog)
{
    catalog.versions = versions();
    if (state_.evacuatedZones.isKnown()) {
        catalog.evacuations = state_.evacuatedZones.snapshot();
    }
    writeRoutes(have.routes, catalog);
    if (catalog.versions.list > have.list) {
        auto changes = state_.directory.changesSince(have.list);
        catalog.listAge = timeSince(listReadAt_);
        catalog.isSnapshot = !changes.has_value();
        catalog.changes = changes ? std::move(*changes) : state_.directory.snapshotAsChanges();
    }
}

void CatalogContents::writeRoutes(RouteVersion have, Catalog &catalog)
{
    if (const UnparsedRoutes *offered = routeHistory_.offerFor(have)) {
        catalog.versions.routes = offered->to;
        catalog.routes = offered->changes;
        catalog.routesFrom = offered->from;
        catalog.routesAge = timeSince(offered->readAt);
    } else if (catalog.versions.routes > have) {
        catalog.routes = routeHistory_.changesSince(have);
        catalog.routesFrom = routeHistory_.baseFor(have);
        catalog.routesAge = timeSince(routesReadAt_);
    }
}

bool CatalogContents::offerRoutes(const Endpoint &peer, const Catalog &catalog)
{
    const RouteVersion active = versions().routes;
    const bool apply = active.value() > 0 && catalog.routesFrom == active;
    if (!apply || catalog.versions.routes <= active || catalog.routes.empty()) {
        return false;
    }
    // No node may use the routes without the evacuations that were known with them.
    if (catalog.evacuations) {
        (void)applyEvacuations(*catalog.evacuations, peer.value());
    }
    routeHistory_.offer({active, catalog.versions.routes, catalog.routes, currentTime() - catalog.routesAge});
    return true;
}

void CatalogContents::applyRoutesFromStore(PublishedRoutes routes)
{
    // A stale read must not replace newer active routes.
    if (routes.table->version() <= versions().routes) {
        return;
    }
    UpdateOrigin origin;
    origin.bytes = routes.size.value();
    origin.transferTime = routes.transferTime;
    origin.parseTime = routes.parseTime;
    routeHistory_.activate(routes.table);
    activateRoutes(std::move(routes.table), origin);
}

void CatalogContents::applyRoutesFromPeer(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.versions.routes <= versions().routes) {
        needsAllRoutes_ = false;
        return;
    }
    if (!catalog.routes.empty()) {
        applyRouteChanges(peer, catalog);
        routeHistory_.endOffer();
    } else if (!catalog.publishedRoutes.empty()) {
        applyPublishedRoutes(peer, catalog);
    }
}

void CatalogContents::applyRouteChanges(const Endpoint &peer, const Catalog &catalog)
{
    const TimePoint startedAt = currentTime();
    const Result<RouteChanges> changes = unpackChanges(catalog.routes);
    if (!changes) {
        needsAllRoutes_ = true;
        log_.logRefusedEntry(peer.value(), changes.error().detail);
        return;
    }
    const RouteVersion from = changes.value().from;
    const bool areComplete = from.value() == 0;
    // Another node may have brought newer routes while this answer was on its way. The next query starts from them.
    const bool areOutdated = changes.value().to <= versions().routes || (!areComplete && from != versions().routes);
    if (areOutdated) {
        return;
    }
    Result<RouteTablePointer> table = tableAfter(areComplete ? nullptr : state_.routes.get(), changes.value());
    needsAllRoutes_ = !table;
    if (!table) {
        log_.logRefusedEntry(peer.value(), table.error().detail);
        return;
    }
    UpdateOrigin origin{peer.value(), catalog.routesAge, catalog.routes.bytes.size()};
    origin.parseTime = timeSince(startedAt);
    routeHistory_.activate(table.value(), from, catalog.routes);
    activateRoutes(std::move(table).value(), origin);
}

/// Takes the answer of a node of an earlier version.
void CatalogContents::applyPublishedRoutes(const Endpoint &peer, const Catalog &catalog)
{
    const Result<std::string> text = unpackRoutes(catalog.publishedRoutes);
    Result<PublishedRoutes> routes = text ? source_.parseRoutes(text.value()) : Result<PublishedRoutes>(text.error());
    if (!routes) {
        log_.logRefusedEntry(peer.value(), routes.error().detail);
        return;
    }
    // The version that the peer announced may differ from the version of the routes that it sent.
    if (routes.value().table->version() > versions().routes) {
        UpdateOrigin origin{peer.value(), catalog.routesAge, catalog.publishedRoutes.bytes.size()};
        origin.parseTime = routes.value().parseTime;
        routeHistory_.activate(routes.value().table);
        activateRoutes(std::move(routes.value().table), origin);
    }
}

void CatalogContents::activateRoutes(RouteTablePointer table, const UpdateOrigin &origin)
{
    log_.logRoutes(*table, versions().routes, origin);
    log_.logUnknownKinds(*table);
    log_.logUnknownRegions(*table, state_.settings.zones);
    routesReadAt_ = currentTime() - origin.age;
    state_.routes = std::move(table);
    onChanged_();
}

void CatalogContents::applyListFromStore(const InstanceSnapshot &snapshot)
{
    replaceList(snapshot, {});
}

void CatalogContents::applyChangesFromStore(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    applyChanges(changes, reached, {});
}

bool CatalogContents::applyFromPeer(const Endpoint &peer, const Catalog &catalog)
{
    const bool areOperatorUpdatesNew = applyOperatorUpdates(peer, catalog);
    const bool isListNew = applyListFromPeer(peer, catalog);
    return areOperatorUpdatesNew || isListNew;
}

bool CatalogContents::applyOperatorUpdates(const Endpoint &peer, const Catalog &catalog)
{
    const RouteVersion routesBefore = versions().routes;
    // The evacuations come first, so that no routes are used without them.
    const bool areEvacuationsNew = catalog.evacuations && applyEvacuations(*catalog.evacuations, peer.value());
    applyRoutesFromPeer(peer, catalog);
    return areEvacuationsNew || routesBefore < versions().routes;
}

void CatalogContents::applyEvacuationsFromStore(const EvacuationSnapshot &snapshot)
{
    (void)applyEvacuations(snapshot, UpdateOrigin::Platform);
}

void CatalogContents::applyEvacuationChangesFromStore(const std::vector<EvacuationChange> &changes,
                                                      StoreRevision reached)
{
    bool hasChanged = false;
    for (const EvacuationChange &change : changes) {
        hasChanged = state_.evacuatedZones.applyChange(change) || hasChanged;
    }
    state_.evacuatedZones.advanceTo(reached);
    if (hasChanged) {
        evacuationsChanged(UpdateOrigin::Platform);
    }
}

bool CatalogContents::applyEvacuations(const EvacuationSnapshot &snapshot, std::string_view from)
{
    const bool wasKnown = state_.evacuatedZones.isKnown();
    const bool hasChanged = state_.evacuatedZones.applySnapshot(snapshot);
    if (hasChanged || !wasKnown) {
        evacuationsChanged(from);
    }
    return hasChanged;
}

void CatalogContents::evacuationsChanged(std::string_view from)
{
    log_.logEvacuations(state_.evacuatedZones, state_.settings.zones, from);
    onChanged_();
}

bool CatalogContents::applyListFromPeer(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.versions.list <= versions().list) {
        return false;
    }
    const UpdateOrigin origin{peer.value(), catalog.listAge};
    if (!catalog.isSnapshot) {
        return applyChanges(catalog.changes, catalog.versions.list, origin);
    }
    InstanceSnapshot snapshot;
    snapshot.revision = catalog.versions.list;
    for (const InstanceChange &change : catalog.changes) {
        if (change.record) {
            snapshot.records.push_back(*change.record);
        }
    }
    return replaceList(snapshot, origin);
}

bool CatalogContents::replaceList(const InstanceSnapshot &snapshot, const UpdateOrigin &origin)
{
    const bool applied = state_.directory.applySnapshot(snapshot, currentTime());
    if (applied) {
        listReadAt_ = currentTime() - origin.age;
        log_.recordListAge(origin);
        log_.logList(state_.directory, origin.from, "whole");
        notifyListChanged();
    }
    return applied;
}

bool CatalogContents::applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached,
                                   const UpdateOrigin &origin)
{
    bool anyApplied = false;
    for (const InstanceChange &change : changes) {
        if (!state_.directory.applyChange(change, currentTime())) {
            continue;
        }
        anyApplied = true;
        log_.logUpstreamChange(change, origin);
    }
    state_.directory.advanceTo(reached);
    if (anyApplied) {
        listReadAt_ = currentTime() - origin.age;
        log_.recordListAge(origin);
        notifyListChanged();
    }
    return anyApplied;
}

void CatalogContents::expire()
{
    if (state_.directory.expire(currentTime())) {
        log_.logList(state_.directory, UpdateOrigin::Platform, "lapsed");
        notifyListChanged();
    }
}

void CatalogContents::notifyListChanged()
{
    onListChanged_();
    onChanged_();
}

bool CatalogContents::removesReadyUpstreams(const Catalog &catalog) const
{
    std::set<UpstreamName> listed;
    std::set<UpstreamName> removed;
    for (const InstanceChange &change : catalog.changes) {
        (change.record ? listed : removed).insert(change.id);
    }
    bool removesReady = false;
    state_.directory.forEachReady([&](const InstanceRecord &record) {
        const bool isRemoved = catalog.isSnapshot ? !listed.contains(record.id) : removed.contains(record.id);
        removesReady = removesReady || isRemoved;
    });
    return removesReady;
}

}

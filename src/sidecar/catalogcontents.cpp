#include "sidecar/catalogcontents.h"

#include <set>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

CatalogContents::CatalogContents(SidecarState &state, const CatalogSource &source, CatalogLog &log,
                                 std::function<void()> listChanged, std::function<void()> changed)
    : state_(state)
    , source_(source)
    , log_(log)
    , listChanged_(std::move(listChanged))
    , changed_(std::move(changed))
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
    return versions;
}

bool CatalogContents::isBehind(const CatalogVersions &versions) const
{
    const CatalogVersions has = this->versions();
    return has.routes < versions.routes || has.list < versions.list;
}

bool CatalogContents::hasNewsFor(const CatalogVersions &have) const
{
    const CatalogVersions has = versions();
    const bool needsAll = have.routes.value() == 0 && have.list.value() == 0;
    const bool newerRoutes = has.routes > have.routes;
    const bool newerList = has.list > have.list;
    return needsAll ? newerRoutes && newerList : newerRoutes || newerList;
}

void CatalogContents::writeNews(const CatalogVersions &have, Catalog &catalog) const
{
    catalog.has = versions();
    if (catalog.has.routes > have.routes) {
        catalog.routes = state_.packedRoutes;
        catalog.routesAge = timeSince(routesReadAt_);
    }
    if (catalog.has.list > have.list) {
        auto changes = state_.directory.changesSince(have.list);
        catalog.listAge = timeSince(listReadAt_);
        catalog.whole = !changes.has_value();
        catalog.changes = changes ? std::move(*changes) : state_.directory.snapshotAsChanges();
    }
}

void CatalogContents::takeRoutesRead(PublishedRoutes routes)
{
    // A stale read must not take back what is in force.
    if (routes.table->version() <= versions().routes) {
        return;
    }
    NewsOrigin origin;
    origin.bytes = routes.text.size();
    putInForce(std::move(routes.table), packRoutes(routes.text), origin);
}

void CatalogContents::takeRoutes(const Endpoint &peer, const Catalog &catalog)
{
    // Reading many routes takes a small VM long.
    if (catalog.routes.empty() || catalog.has.routes <= versions().routes) {
        return;
    }
    Result<std::string> text = unpackRoutes(catalog.routes);
    Result<PublishedRoutes> routes =
        text ? source_.readRoutes(std::move(text).value()) : Result<PublishedRoutes>(text.error());
    if (!routes) {
        log_.entryRefused(peer.value(), routes.error().detail);
        return;
    }
    // What the peer says that it has is not proof of it.
    if (routes.value().table->version() > versions().routes) {
        putInForce(std::move(routes.value().table), catalog.routes,
                   {peer.value(), catalog.routesAge, catalog.routes.bytes.size()});
    }
}

void CatalogContents::putInForce(RouteTablePointer table, PackedRoutes packed, const NewsOrigin &origin)
{
    log_.routesInForce(*table, versions().routes, origin);
    routesReadAt_ = currentTime() - origin.age;
    state_.routes = std::move(table);
    state_.packedRoutes = std::move(packed);
    changed_();
}

void CatalogContents::takeListRead(const InstanceSnapshot &snapshot)
{
    applyWhole(snapshot, {});
}

void CatalogContents::takeChangesRead(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    applyChanges(changes, reached, {});
}

bool CatalogContents::take(const Endpoint &peer, const Catalog &catalog)
{
    const RouteVersion before = versions().routes;
    takeRoutes(peer, catalog);
    const bool listIsNew = takeList(peer, catalog);
    return listIsNew || before < versions().routes;
}

bool CatalogContents::takeList(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.has.list <= versions().list) {
        return false;
    }
    const NewsOrigin origin{peer.value(), catalog.listAge};
    if (!catalog.whole) {
        return applyChanges(catalog.changes, catalog.has.list, origin);
    }
    InstanceSnapshot snapshot;
    snapshot.revision = catalog.has.list;
    for (const InstanceChange &change : catalog.changes) {
        if (change.record) {
            snapshot.records.push_back(*change.record);
        }
    }
    return applyWhole(snapshot, origin);
}

bool CatalogContents::applyWhole(const InstanceSnapshot &snapshot, const NewsOrigin &origin)
{
    const bool applied = state_.directory.applySnapshot(snapshot, currentTime());
    if (applied) {
        listReadAt_ = currentTime() - origin.age;
        log_.listRead(origin);
        log_.wholeList(state_.directory, origin.from, "whole");
        noteListChanged();
    }
    return applied;
}

bool CatalogContents::applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached,
                                   const NewsOrigin &origin)
{
    bool any = false;
    for (const InstanceChange &change : changes) {
        if (!state_.directory.applyChange(change, currentTime())) {
            continue;
        }
        any = true;
        log_.upstreamChanged(change, origin);
    }
    state_.directory.reached(reached);
    if (any) {
        listReadAt_ = currentTime() - origin.age;
        log_.listRead(origin);
        noteListChanged();
    }
    return any;
}

void CatalogContents::expire()
{
    if (state_.directory.expire(currentTime())) {
        log_.wholeList(state_.directory, NewsOrigin::Platform, "lapsed");
        noteListChanged();
    }
}

void CatalogContents::noteListChanged()
{
    listChanged_();
    changed_();
}

bool CatalogContents::removesSilently(const Catalog &catalog) const
{
    std::set<UpstreamName> listed;
    std::set<UpstreamName> removed;
    for (const InstanceChange &change : catalog.changes) {
        (change.record ? listed : removed).insert(change.id);
    }
    bool silently = false;
    state_.directory.forEachReady([&](const InstanceRecord &record) {
        const bool vanishes = catalog.whole ? !listed.contains(record.id) : removed.contains(record.id);
        silently = silently || vanishes;
    });
    return silently;
}

}

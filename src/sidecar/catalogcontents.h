#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "rpc/peermessages.h"
#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/routehistory.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// The routes, the evacuated zones and the instance list of a node. Applies updates from the store and from other
/// nodes, and writes the updates that another node lacks.
///
/// Routes never go back: only a larger version replaces the active one. Thread safety: none. Precondition: references
/// outlive the object. Errors: an update that can't be used is logged, and the active routes and list stay.
class CatalogContents
{
public:
    /// @p onChanged is called after each change. If the list changed, @p onListChanged is called just before it.
    CatalogContents(SidecarState &state, const CatalogSource &source, CatalogLog &log,
                    std::function<void()> onListChanged, std::function<void()> onChanged);

    /// The next five functions apply what this node itself read from the store.
    void applyRoutesFromStore(PublishedRoutes routes);
    void applyListFromStore(const InstanceSnapshot &snapshot);
    void applyChangesFromStore(const std::vector<InstanceChange> &changes, StoreRevision reached);
    void applyEvacuationsFromStore(const EvacuationSnapshot &snapshot);
    void applyEvacuationChangesFromStore(const std::vector<EvacuationChange> &changes, StoreRevision reached);
    /// Passes the changed routes of @p catalog, an answer of @p peer, on to other nodes before they are applied here.
    /// Returns whether there are any. They have to be applied soon: other nodes get them until then.
    bool offerRoutes(const Endpoint &peer, const Catalog &catalog);
    /// Applies the routes and evacuations of @p catalog, an answer of @p peer. Returns whether anything was new.
    bool applyOperatorUpdates(const Endpoint &peer, const Catalog &catalog);
    /// Applies all updates of @p catalog, an answer of @p peer. Returns whether anything was new.
    bool applyFromPeer(const Endpoint &peer, const Catalog &catalog);
    /// Drops held records whose hold time is over.
    void expire();

    [[nodiscard]] CatalogVersions versions() const;
    /// The versions to name in a query to another node: no routes if changes did not apply, so that all routes come.
    [[nodiscard]] CatalogVersions versionsForQuery() const;
    [[nodiscard]] bool isBehind(const CatalogVersions &versions) const;
    /// Whether there is an update for a node that has @p have. For a node that has nothing, only routes and list
    /// together are an update.
    [[nodiscard]] bool hasUpdatesFor(const CatalogVersions &have) const;
    /// Writes to @p catalog what a node that has @p have lacks.
    void writeUpdates(const CatalogVersions &have, Catalog &catalog);
    /// Whether @p catalog removes upstreams that did not announce that they drain.
    [[nodiscard]] bool removesReadyUpstreams(const Catalog &catalog) const;

private:
    void writeRoutes(RouteVersion have, Catalog &catalog);
    void applyRoutesFromPeer(const Endpoint &peer, const Catalog &catalog);
    void applyRouteChanges(const Endpoint &peer, const Catalog &catalog);
    void applyPublishedRoutes(const Endpoint &peer, const Catalog &catalog);
    /// Returns whether the set of evacuated zones changed.
    bool applyEvacuations(const EvacuationSnapshot &snapshot, std::string_view from);
    void evacuationsChanged(std::string_view from);
    bool applyListFromPeer(const Endpoint &peer, const Catalog &catalog);
    /// Called after the history has taken @p table.
    void activateRoutes(RouteTablePointer table, const UpdateOrigin &origin);
    bool applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached, const UpdateOrigin &origin);
    bool replaceList(const InstanceSnapshot &snapshot, const UpdateOrigin &origin);
    void notifyListChanged();

    SidecarState &state_;
    const CatalogSource &source_;
    CatalogLog &log_;
    std::function<void()> onListChanged_;
    std::function<void()> onChanged_;
    RouteHistory routeHistory_;
    /// Whether changes from another node could not be applied. All routes are asked for then.
    bool needsAllRoutes_ = false;
    /// When a node, this one or another, read the active routes and the newest change of the list from the store.
    TimePoint routesReadAt_;
    TimePoint listReadAt_;
};

}

#pragma once

#include <functional>
#include <string_view>
#include <vector>

#include "rpc/peermessages.h"
#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// The routes and the list that a node has: puts news in force, whoever brings it, and gives others what they lack.
///
/// Routes never go back: only a larger version replaces those in force. Thread safety: none. Precondition: references
/// outlive it. Errors: what can't be used is logged, and what was in force stays.
class CatalogContents
{
public:
    /// @p changed is called after each change, @p listChanged before it when the list is another one.
    CatalogContents(SidecarState &state, const CatalogSource &source, CatalogLog &log,
                    std::function<void()> listChanged, std::function<void()> changed);

    /// Read from the store by this node.
    void takeRoutesRead(PublishedRoutes routes);
    void takeListRead(const InstanceSnapshot &snapshot);
    void takeChangesRead(const std::vector<InstanceChange> &changes, StoreRevision reached);
    /// Takes what @p peer has. Returns whether anything was new.
    bool take(const Endpoint &peer, const Catalog &catalog);
    /// Drops held records whose time is over.
    void expire();

    [[nodiscard]] CatalogVersions versions() const;
    [[nodiscard]] bool isBehind(const CatalogVersions &versions) const;
    /// Whether there is anything for an asker that has @p have; one that has nothing needs all.
    [[nodiscard]] bool hasNewsFor(const CatalogVersions &have) const;
    /// Writes what an asker that has @p have lacks.
    void writeNews(const CatalogVersions &have, Catalog &catalog) const;
    /// Whether upstreams vanish with @p catalog that did not say that they leave.
    [[nodiscard]] bool removesSilently(const Catalog &catalog) const;

private:
    void takeRoutes(const Endpoint &peer, const Catalog &catalog);
    bool takeList(const Endpoint &peer, const Catalog &catalog);
    void putInForce(RouteTablePointer table, PackedRoutes packed, const NewsOrigin &origin);
    bool applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached, const NewsOrigin &origin);
    bool applyWhole(const InstanceSnapshot &snapshot, const NewsOrigin &origin);
    void noteListChanged();

    SidecarState &state_;
    const CatalogSource &source_;
    CatalogLog &log_;
    std::function<void()> listChanged_;
    std::function<void()> changed_;
    /// When a node read the routes in force, and the newest change of the list, from the store.
    TimePoint routesReadAt_;
    TimePoint listReadAt_;
};

}

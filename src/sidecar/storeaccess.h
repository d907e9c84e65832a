#pragma once

#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Finds out whether this node itself can reach the store while other nodes can.
///
/// Guards against mass expiry: VMs that are cut off from the store can't renew their leases and disappear from the
/// list, though they are alive and reach each other. A node among them that reads the store itself knows that it is cut
/// off and goes on using them. A node among them that follows a node which still reads the store has to check its own
/// access. Thread safety: none. Precondition: references outlive the object. Errors: none.
class StoreAccess
{
public:
    /// @p onChanged is called when isCutOff() changes.
    StoreAccess(boost::asio::any_io_executor executor, SidecarState &state, CatalogSource &source, CatalogLog &log,
                std::function<void()> onChanged);

    /// Whether this node can't reach the store although other nodes can. Upstreams whose leases expire meanwhile are
    /// probably alive and only cut off from the store, like this node.
    [[nodiscard]] bool isCutOff() const { return isCutOff_; }
    /// Called before a list from another node is applied. If it removes upstreams that did not announce that they drain
    /// (@p removesReady), checks whether this node can reach the store. If this node counts as cut off, does so beside
    /// it.
    [[nodiscard]] boost::asio::awaitable<void> check(bool removesReady);

private:
    boost::asio::awaitable<void> update();

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    CatalogSource &source_;
    CatalogLog &log_;
    std::function<void()> onChanged_;
    bool isCutOff_ = false;
    /// Whether update() is under way.
    bool isUpdating_ = false;
};

}

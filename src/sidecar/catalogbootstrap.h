#pragma once

#include <cstddef>
#include <functional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/verdict.h"
#include "instances/catalogtimes.h"
#include "rpc/peermessages.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// What CatalogBootstrap needs of the controller that owns it.
struct CatalogBootstrapCallbacks
{
    /// Requests routes and list from a node.
    std::function<boost::asio::awaitable<Result<Catalog>>(Endpoint)> ask;
    /// Applies the answer of a node, and follows the node if it has routes.
    std::function<void(const Endpoint &, const Catalog &)> applyAnswer;
    /// Whether any node is followed.
    std::function<bool()> isFollowing;
    /// Whether this node has routes.
    std::function<bool()> hasRoutes;
};

/// Asks the seeds, which are the nodes that the settings name, for routes and list while a node starts.
///
/// Load pattern: a whole fleet starts, at once or one VM after another, and each of its nodes would read everything
/// from the store. Thread safety: none. Precondition: references outlive the object and its coroutines.
class CatalogBootstrap
{
public:
    CatalogBootstrap(boost::asio::any_io_executor executor, SidecarState &state, const CatalogTimes &times,
                     CatalogBootstrapCallbacks callbacks);

    /// Returns when a node is followed, or when this node should read the store itself: no seed answers, this node is
    /// itself a seed, or callers wait. Errors: none; a seed that does not answer is left out.
    boost::asio::awaitable<void> run();
    /// Records that a caller was refused because this node has no routes yet.
    void recordWaitingCaller() { hasWaitingCallers_ = true; }
    /// Whether a seed has reported that the store is unavailable.
    [[nodiscard]] bool isStoreReportedUnavailable() const { return isStoreReportedUnavailable_; }

private:
    /// Asks the node at @p seed. Follows it if it has routes and no other source was quicker.
    boost::asio::awaitable<void> askSeed(Endpoint seed);
    boost::asio::awaitable<void> waitForAnswers();

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    const CatalogTimes &times_;
    CatalogBootstrapCallbacks callbacks_;
    /// Seeds that were asked and have not answered yet.
    std::size_t pendingAnswers_ = 0;
    bool isStoreReportedUnavailable_ = false;
    bool hasWaitingCallers_ = false;
};

}

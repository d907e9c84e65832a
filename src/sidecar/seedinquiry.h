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

/// What a SeedInquiry needs of the controller that it works for.
struct SeedInquirer
{
    /// Asks a node for routes and list.
    std::function<boost::asio::awaitable<Result<Catalog>>(Endpoint)> ask;
    /// Takes what a node has told, and follows it if it has routes.
    std::function<void(const Endpoint &, const Catalog &)> take;
    /// Some node is followed.
    std::function<bool()> follows;
    /// Routes are in force.
    std::function<bool()> hasRoutes;
};

/// A node that starts asks the nodes that the settings name for routes and list.
///
/// A fleet that starts whole, or a VM after the other, would read everything from the store as many times as there are
/// nodes. Thread safety: none. Precondition: references outlive the inquiry and its coroutines.
class SeedInquiry
{
public:
    SeedInquiry(boost::asio::any_io_executor executor, SidecarState &state, const CatalogTimes &times,
                SeedInquirer inquirer);

    /// Returns when a node is followed, or the store is to be read: nobody answers, this node is one of those that the
    /// settings name, or callers wait. Errors: none; a node that does not answer is left out.
    boost::asio::awaitable<void> run();
    /// A caller was turned away since no routes are in force.
    void noteCallerWaits() { callersWait_ = true; }
    /// A node has said that the store is away.
    [[nodiscard]] bool saidAway() const { return saidAway_; }

private:
    /// Follows the node at @p seed if it has all and nothing else was quicker.
    boost::asio::awaitable<void> askOne(Endpoint seed);
    boost::asio::awaitable<void> waitForAnswers();

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    const CatalogTimes &times_;
    SeedInquirer inquirer_;
    /// Nodes that have not answered yet.
    std::size_t asked_ = 0;
    bool saidAway_ = false;
    bool callersWait_ = false;
};

}

#pragma once

#include <functional>
#include <memory>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "rpc/peermessages.h"

namespace Egretpath
{

/// What AlternativeSources needs of its owner.
struct AlternativeSourcesCallbacks
{
    /// Asks a node for what this one lacks.
    std::function<boost::asio::awaitable<Result<Catalog>>(Endpoint)> ask;
    /// Whether this node could follow the answering one.
    std::function<bool(const Endpoint &, const Catalog &)> isUsable;
    /// Takes the updates of an answer, without following its sender.
    std::function<boost::asio::awaitable<void>(Endpoint, Catalog)> takeUpdates;
    /// None of the nodes that were asked at the same time can be followed.
    std::function<void()> onAllFailed;
};

/// Asks other nodes for updates while the answer of the node that this one follows is late.
///
/// Load pattern: a source is suspended or cut off while the routes change. It counts as silent only after a time that
/// allows for lost packets, which is long against the time in which updates have to arrive. Where many nodes are cut
/// off, the others are late as well, and to ask them one after the other would take longer still.
///
/// Thread safety: none. Precondition: outlives its answers. Errors: none.
class AlternativeSources
{
public:
    AlternativeSources(boost::asio::any_io_executor executor, AlternativeSourcesCallbacks callbacks);

    /// Asks all of @p peers at the same time.
    void ask(const std::vector<Endpoint> &peers);

private:
    /// Nodes that were asked at the same time.
    struct Round
    {
        std::size_t open = 0;
        bool hasUsable = false;
    };

    boost::asio::awaitable<void> askOne(std::shared_ptr<Round> round, Endpoint peer);

    boost::asio::any_io_executor executor_;
    AlternativeSourcesCallbacks callbacks_;
};

}

#include "sidecar/alternativesources.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Egretpath
{

namespace asio = boost::asio;

AlternativeSources::AlternativeSources(asio::any_io_executor executor, AlternativeSourcesCallbacks callbacks)
    : executor_(std::move(executor))
    , callbacks_(std::move(callbacks))
{
}

void AlternativeSources::ask(const std::vector<Endpoint> &peers)
{
    const auto round = std::make_shared<Round>();
    round->open = peers.size();
    for (const Endpoint &peer : peers) {
        asio::co_spawn(executor_, askOne(round, peer), asio::detached);
    }
}

asio::awaitable<void> AlternativeSources::askOne(std::shared_ptr<Round> round, Endpoint peer)
{
    Result<Catalog> catalog = co_await callbacks_.ask(peer);
    --round->open;
    if (catalog) {
        round->hasUsable = round->hasUsable || callbacks_.isUsable(peer, catalog.value());
        co_await callbacks_.takeUpdates(std::move(peer), std::move(catalog).value());
    }
    if (round->open == 0 && !round->hasUsable) {
        callbacks_.onAllFailed();
    }
}

}

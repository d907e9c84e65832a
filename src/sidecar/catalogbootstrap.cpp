#include "sidecar/catalogbootstrap.h"

#include <algorithm>
#include <random>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

CatalogBootstrap::CatalogBootstrap(asio::any_io_executor executor, SidecarState &state, const CatalogTimes &times,
                                   CatalogBootstrapCallbacks callbacks)
    : executor_(std::move(executor))
    , state_(state)
    , times_(times)
    , callbacks_(std::move(callbacks))
{
}

/// Guards against seeds on VMs that are down: a connection to such a VM hangs, and a node that waited for one seed
/// after another would refuse all its callers meanwhile. So the next seed is asked before the first one has failed. If
/// callers wait, the store is also read before a silent seed has failed.
asio::awaitable<void> CatalogBootstrap::run()
{
    std::vector<Endpoint> seeds = state_.settings.seeds;
    const bool isSeed = std::erase(seeds, state_.settings.starters) > 0;
    if (isSeed) {
        co_return;
    }
    std::shuffle(seeds.begin(), seeds.end(), state_.random);
    asio::steady_timer timer(executor_);
    for (const Endpoint &seed : seeds) {
        asio::co_spawn(executor_, askSeed(seed), asio::detached);
        timer.expires_after(times_.seedStagger);
        co_await timer.async_wait(asio::use_awaitable);
        if (callbacks_.isFollowing()) {
            co_return;
        }
    }
    co_await waitForAnswers();
}

asio::awaitable<void> CatalogBootstrap::waitForAnswers()
{
    asio::steady_timer timer(executor_);
    // A seed that answers late is itself starting and still reading the store. If callers wait, this node doesn't wait
    // for the seed.
    while (!callbacks_.isFollowing() && pendingAnswers_ > 0 && !hasWaitingCallers_) {
        timer.expires_after(times_.seedStagger);
        co_await timer.async_wait(asio::use_awaitable);
    }
    // The seeds already call a store that is unavailable to them, so this node waits before it calls the store as well.
    // It still calls in the end, in case the store refuses only the seeds. The random wait spreads these calls over
    // time.
    std::exponential_distribution<double> waitDistribution(1.0);
    const auto maxWait =
        std::chrono::duration_cast<Duration>(times_.minProbeInterval * waitDistribution(state_.random));
    const TimePoint deadline = currentTime() + maxWait;
    while (!callbacks_.isFollowing() && isStoreReportedUnavailable_ && currentTime() < deadline) {
        timer.expires_after(times_.checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> CatalogBootstrap::askSeed(Endpoint seed)
{
    ++pendingAnswers_;
    const Result<Catalog> catalog = co_await callbacks_.ask(seed);
    --pendingAnswers_;
    const bool hasNoSource = !callbacks_.isFollowing() && !callbacks_.hasRoutes();
    if (!hasNoSource || !catalog) {
        co_return;
    }
    isStoreReportedUnavailable_ = isStoreReportedUnavailable_ || catalog.value().store == StoreState::Unavailable;
    callbacks_.applyAnswer(seed, catalog.value());
}

}

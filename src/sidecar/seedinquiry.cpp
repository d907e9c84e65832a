#include "sidecar/seedinquiry.h"

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

SeedInquiry::SeedInquiry(asio::any_io_executor executor, SidecarState &state, const CatalogTimes &times,
                         SeedInquirer inquirer)
    : executor_(std::move(executor))
    , state_(state)
    , times_(times)
    , inquirer_(std::move(inquirer))
{
}

/// Guards against VMs among the seeds that are down: a connection to one hangs, and while a node waited for each of
/// them in turn it turned all its callers away. So the next one is asked, and in the end the store, before the first
/// has failed.
asio::awaitable<void> SeedInquiry::run()
{
    std::vector<Endpoint> seeds = state_.settings.seeds;
    const bool isSeed = std::erase(seeds, state_.settings.starters) > 0;
    if (isSeed) {
        co_return;
    }
    std::shuffle(seeds.begin(), seeds.end(), state_.random);
    asio::steady_timer timer(executor_);
    for (const Endpoint &seed : seeds) {
        asio::co_spawn(executor_, askOne(seed), asio::detached);
        timer.expires_after(times_.seedStagger);
        co_await timer.async_wait(asio::use_awaitable);
        if (inquirer_.follows()) {
            co_return;
        }
    }
    co_await waitForAnswers();
}

asio::awaitable<void> SeedInquiry::waitForAnswers()
{
    asio::steady_timer timer(executor_);
    // One that answers late starts itself and reads the store just now; with callers here there is no time for that.
    while (!inquirer_.follows() && asked_ > 0 && !callersWait_) {
        timer.expires_after(times_.seedStagger);
        co_await timer.async_wait(asio::use_awaitable);
    }
    // They ask a store that is away already. Should they be turned away and others not, one look in a while shows it.
    std::exponential_distribution<double> spread(1.0);
    const auto patience = std::chrono::duration_cast<Duration>(times_.minProbeInterval * spread(state_.random));
    const TimePoint end = currentTime() + patience;
    while (!inquirer_.follows() && saidAway_ && currentTime() < end) {
        timer.expires_after(times_.round);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<void> SeedInquiry::askOne(Endpoint seed)
{
    ++asked_;
    const Result<Catalog> catalog = co_await inquirer_.ask(seed);
    --asked_;
    const bool isFirst = !inquirer_.follows() && !inquirer_.hasRoutes();
    if (!isFirst || !catalog) {
        co_return;
    }
    saidAway_ = saidAway_ || catalog.value().store == StoreState::Unavailable;
    inquirer_.take(seed, catalog.value());
}

}

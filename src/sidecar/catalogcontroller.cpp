#include "sidecar/catalogcontroller.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// How often held records are looked at, and peers asked while the platform can't be read. Changes have to be in force
/// within two seconds.
constexpr Milliseconds Round{300};
/// The platform may be unreachable for so long before peers are asked; most losses are one refused call.
constexpr Milliseconds LossBeforeAsking{250};
constexpr Milliseconds PeerLimit{600};
/// Peers asked in one round. One may be cut off itself; with two the news passes through a fleet in a few rounds.
constexpr std::size_t PeersInRound = 2;

}

CatalogController::CatalogController(asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                                     PeerClient &peers, std::function<void()> changed)
    : executor_(std::move(executor))
    , state_(state)
    , source_(source)
    , peers_(peers)
    , changed_(std::move(changed))
    , started_(currentTime())
{
}

void CatalogController::start()
{
    source_.start(*this);
    asio::co_spawn(executor_, watchOver(), asio::detached);
}

Catalog CatalogController::answer(const CatalogRequest &request) const
{
    Catalog catalog;
    if (state_.routes) {
        catalog.routesVersion = state_.routes->version();
        if (request.routes < catalog.routesVersion) {
            catalog.routes = state_.routesText;
        }
    }
    if (state_.directory.hasList() && request.revision < state_.directory.revision()) {
        catalog.instances = state_.directory.snapshot();
    }
    catalog.storeInOrder = !lostSince_ && state_.directory.hasList() && !state_.directory.holdsRemovals(currentTime());
    return catalog;
}

void CatalogController::routesRead(PublishedRoutes routes)
{
    // A stale read or an old peer must not take back what is in force.
    if (state_.routes && routes.table->version() <= state_.routes->version()) {
        return;
    }
    StructuredLine line("routes");
    line.add("version", routes.table->version().value());
    line.add("before", state_.routes ? state_.routes->version().value() : 0);
    line.add("count", std::uint64_t{routes.table->routeCount()});
    state_.log.info(line);
    state_.routes = std::move(routes.table);
    state_.routesText = std::move(routes.text);
    state_.metrics.set("egretpath_routes_version", {}, static_cast<double>(state_.routes->version().value()));
    changed_();
}

void CatalogController::listRead(const InstanceSnapshot &snapshot)
{
    if (state_.directory.applySnapshot(snapshot, currentTime())) {
        logList("platform", "whole");
        changed_();
    }
}

void CatalogController::changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    bool any = false;
    for (const InstanceChange &change : changes) {
        any = state_.directory.applyChange(change, currentTime()) || any;
        StructuredLine line("upstream");
        line.add("id", change.id.value()).add("revision", change.revision.value());
        line.add("state",
                 !change.record                                     ? "gone"
                     : change.record->state == InstanceState::Ready ? "ready"
                                                                    : "draining");
        state_.log.info(line);
    }
    state_.directory.reached(reached);
    if (any) {
        changed_();
    }
}

void CatalogController::sourceLost(std::string_view why)
{
    lostSince_ = currentTime();
    state_.directory.storeLost();
    state_.log.warning(StructuredLine("platform").add("state", "lost").add("why", why));
}

void CatalogController::sourceBack()
{
    const Duration away = lostSince_ ? currentTime() - *lostSince_ : Duration{0};
    lostSince_.reset();
    state_.directory.storeBack(currentTime());
    StructuredLine line("platform");
    line.add("state", "back").add("away_ms", std::chrono::duration_cast<Milliseconds>(away).count());
    state_.log.info(line);
}

void CatalogController::entryRefused(std::string_view key, std::string_view why)
{
    state_.metrics.count("egretpath_entries_refused_total");
    state_.log.warning(StructuredLine("entry-refused").add("key", key).add("why", why));
}

asio::awaitable<void> CatalogController::watchOver()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(Round);
        co_await timer.async_wait(asio::use_awaitable);
        if (state_.directory.expire(currentTime())) {
            logList("platform", "lapsed");
            changed_();
        }
        if (needsPeers()) {
            co_await askPeers();
        }
    }
}

bool CatalogController::needsPeers() const
{
    if (lostSince_) {
        return currentTime() - *lostSince_ >= LossBeforeAsking;
    }
    // A store that does not answer at all has not failed yet.
    return !state_.isReady() && !state_.stopping && currentTime() - started_ >= LossBeforeAsking;
}

asio::awaitable<void> CatalogController::askPeers()
{
    for (const Endpoint &peer : peersToAsk()) {
        CatalogRequest request;
        request.routes = state_.routes ? state_.routes->version() : RouteVersion();
        request.revision = state_.directory.revision();
        const Result<Catalog> catalog = co_await peers_.catalog(peer, request, currentTime() + PeerLimit);
        if (catalog) {
            take(peer, catalog.value());
        }
    }
}

/// Peers from the list; before there is one, those that the settings name.
std::vector<Endpoint> CatalogController::peersToAsk()
{
    std::vector<Endpoint> all;
    for (const InstanceRecord &record : state_.directory.snapshot().records) {
        if (record.node != state_.settings.peers) {
            all.push_back(record.node);
        }
    }
    if (all.empty()) {
        all = state_.settings.seeds;
    }
    std::shuffle(all.begin(), all.end(), state_.random);
    all.resize(std::min(all.size(), PeersInRound));
    return all;
}

void CatalogController::take(const Endpoint &peer, const Catalog &catalog)
{
    if (!catalog.routes.empty()) {
        Result<PublishedRoutes> routes = source_.readRoutes(catalog.routes);
        if (routes) {
            routesRead(std::move(routes).value());
        } else {
            entryRefused(peer.value(), routes.error().detail);
        }
    }
    state_.directory.storeSeenInOrder(catalog.storeInOrder);
    if (catalog.instances && state_.directory.applySnapshot(*catalog.instances, currentTime())) {
        logList(peer.value(), "whole");
        changed_();
    }
}

void CatalogController::logList(std::string_view from, std::string_view what) const
{
    StructuredLine line("upstreams");
    line.add("from", from).add("what", what).add("revision", state_.directory.revision().value());
    line.add("count", std::uint64_t{state_.directory.size()});
    state_.log.info(line);
}

}

#include "sidecar/catalogcontroller.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
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
constexpr Milliseconds PeerLimit{600};
/// Peers asked in one round. One may be cut off itself; with two the news passes through a fleet in a few rounds.
constexpr std::size_t PeersInRound = 2;
/// A reader answers a follower after this time at the latest, so that one that froze or was cut off is noticed within
/// FollowWait and FollowMargin, and the next one has still told of a change within two seconds.
constexpr Milliseconds FollowWait{700};
/// A node that the settings name answers a starting one after this time at the latest: it may start itself, and has
/// read the store within some 50 ms.
constexpr Milliseconds SeedWait{400};
/// The next one is asked after this time: two round trips between regions, and what a small VM takes to answer.
constexpr Milliseconds SeedStagger{60};
/// For the way there and back, with one lost packet.
constexpr Milliseconds FollowMargin{400};
/// A follower of a node that was heard longer ago says no longer that its list is in order.
constexpr Milliseconds InOrderFor{1400};
/// News passes through so many nodes at most, twice as many as the trees are deep; a longer chain is a circle, in which
/// nobody reads.
constexpr std::uint8_t MostHops = 8;
/// Between tries to follow somebody while this node reads for itself.
constexpr Milliseconds FollowPause{100};
/// A peer may have more than this node for so long: readers gather changes for up to .9 s, each in its own rhythm.
constexpr Milliseconds AheadBeforeAsking{1200};

Milliseconds since(TimePoint time)
{
    return std::chrono::duration_cast<Milliseconds>(currentTime() - time);
}

}

CatalogController::CatalogController(asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                                     PeerClient &peers, const DecisionSettings &decisions,
                                     std::function<void()> changed)
    : executor_(executor)
    , state_(state)
    , source_(source)
    , peers_(peers)
    , settings_(decisions.catalog)
    , log_(state.log, state.metrics)
    , changed_(std::move(changed))
    , started_(currentTime())
    , election_(state.location.region, decisions.readers)
    , news_(executor, asio::steady_timer::time_point::max())
{
}

void CatalogController::start()
{
    source_.attach(*this);
    asio::co_spawn(executor_, watchOver(), asio::detached);
    asio::co_spawn(executor_, begin(), asio::detached);
}

CatalogMark CatalogController::mark() const
{
    CatalogMark mark;
    if (state_.routes) {
        mark.routes = state_.routes->version();
    }
    if (state_.directory.hasList()) {
        mark.list = state_.directory.revision();
    }
    return mark;
}

std::string CatalogController::sourceName() const
{
    if (following_) {
        return following_->value();
    }
    return lostSince_ ? "lost" : std::string(NewsOrigin::Platform);
}

bool CatalogController::isInOrder() const
{
    if (!state_.directory.hasList() || state_.directory.holdsRemovals(currentTime())) {
        return false;
    }
    return !lostSince_ && (!following_ || currentTime() - heardAt_ < InOrderFor);
}

asio::awaitable<Catalog> CatalogController::answer(CatalogRequest request)
{
    const TimePoint asked = currentTime();
    const TimePoint end = asked + request.wait;
    asio::steady_timer limit(executor_, end);
    limit.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            wakeAskers();
        }
    });
    const auto hasNews = [this, &request] {
        const CatalogMark has = mark();
        const bool asksForAll = request.have.routes.value() == 0 && request.have.list.value() == 0;
        const bool newerRoutes = has.routes > request.have.routes;
        const bool newerList = has.list > request.have.list;
        return asksForAll ? newerRoutes && newerList : newerRoutes || newerList;
    };
    // A node that has just started waits as well: it may have read all in a moment.
    while (!hasNews() && (isInOrder() || !state_.directory.hasList()) && currentTime() < end) {
        boost::system::error_code ignored;
        co_await news_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    Catalog catalog;
    catalog.has = mark();
    catalog.storeInOrder = isInOrder();
    catalog.hops = following_ ? static_cast<std::uint8_t>(hops_ + 1) : 0;
    catalog.held = since(asked);
    if (catalog.has.routes > request.have.routes) {
        catalog.routes = state_.packedRoutes;
        catalog.routesAge = since(routesReadAt_);
    }
    if (catalog.has.list > request.have.list) {
        auto changes = state_.directory.changesSince(request.have.list);
        catalog.listAge = since(listReadAt_);
        catalog.whole = !changes.has_value();
        catalog.changes = changes ? std::move(*changes) : state_.directory.wholeAsChanges();
    }
    co_return catalog;
}

bool CatalogController::isBehind(const CatalogMark &mark) const
{
    const CatalogMark has = this->mark();
    return has.routes < mark.routes || has.list < mark.list;
}

void CatalogController::noteMark(const Endpoint &peer, const CatalogMark &mark)
{
    if (!isBehind(mark)) {
        return;
    }
    const TimePoint since = ahead_ ? ahead_->since : currentTime();
    ahead_ = Ahead{peer, mark, since};
}

void CatalogController::routesRead(PublishedRoutes routes)
{
    // A stale read must not take back what is in force.
    if (routes.table->version() <= mark().routes) {
        return;
    }
    NewsOrigin origin;
    origin.bytes = routes.text.size();
    putInForce(std::move(routes.table), packRoutes(routes.text), origin);
}

void CatalogController::takeRoutes(const Endpoint &peer, const Catalog &catalog)
{
    // Reading many routes takes a small VM long.
    if (catalog.routes.empty() || catalog.has.routes <= mark().routes) {
        return;
    }
    Result<std::string> text = unpackRoutes(catalog.routes);
    Result<PublishedRoutes> routes =
        text ? source_.readRoutes(std::move(text).value()) : Result<PublishedRoutes>(text.error());
    if (!routes) {
        entryRefused(peer.value(), routes.error().detail);
        return;
    }
    // What the peer says that it has is not proof of it.
    if (routes.value().table->version() > mark().routes) {
        putInForce(std::move(routes.value().table), catalog.routes,
                   {peer.value(), catalog.routesAge, catalog.routes.bytes.size()});
    }
}

void CatalogController::putInForce(RouteTablePointer table, PackedRoutes packed, const NewsOrigin &origin)
{
    log_.routesInForce(*table, mark().routes, origin);
    routesReadAt_ = currentTime() - origin.age;
    state_.routes = std::move(table);
    state_.packedRoutes = std::move(packed);
    wakeAskers();
    changed_();
}

void CatalogController::listRead(const InstanceSnapshot &snapshot)
{
    if (state_.directory.applySnapshot(snapshot, currentTime())) {
        noteListRead({});
        log_.wholeList(state_.directory, NewsOrigin::Platform, "whole");
        listChanged();
    }
}

void CatalogController::noteListRead(const NewsOrigin &origin)
{
    listReadAt_ = currentTime() - origin.age;
    log_.listRead(origin);
}

void CatalogController::changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    applyChanges(changes, reached, {});
}

/// Returns whether anything was new.
bool CatalogController::applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached,
                                     const NewsOrigin &origin)
{
    bool any = false;
    for (const InstanceChange &change : changes) {
        if (!state_.directory.applyChange(change, currentTime())) {
            continue;
        }
        any = true;
        log_.upstreamChanged(change, origin);
    }
    state_.directory.reached(reached);
    wakeAskers();
    if (any) {
        noteListRead(origin);
        listChanged();
    }
    return any;
}

void CatalogController::listChanged()
{
    election_.update(state_.directory, ownNode());
    wakeAskers();
    changed_();
}

/// Under which address other nodes find this one.
Endpoint CatalogController::ownNode() const
{
    const InstanceRecord *own = state_.directory.findByAddress(state_.settings.upstream);
    return own == nullptr ? state_.settings.peers : own->node;
}

void CatalogController::sourceLost(std::string_view why)
{
    lostSince_ = currentTime();
    state_.directory.storeLost();
    log_.sourceLost(why);
    wakeAskers();
}

void CatalogController::sourceBack()
{
    const Duration away = lostSince_ ? currentTime() - *lostSince_ : Duration{0};
    lostSince_.reset();
    state_.directory.storeBack(currentTime());
    log_.sourceBack(away);
}

void CatalogController::entryRefused(std::string_view key, std::string_view why)
{
    log_.entryRefused(key, why);
}

asio::awaitable<void> CatalogController::watchOver()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(Round);
        co_await timer.async_wait(asio::use_awaitable);
        if (state_.directory.expire(currentTime())) {
            log_.wholeList(state_.directory, NewsOrigin::Platform, "lapsed");
            listChanged();
        }
        if (needsPeers()) {
            co_await askPeers();
        }
        if (ahead_ && !isBehind(ahead_->mark)) {
            ahead_.reset();
        }
        if (ahead_ && currentTime() - ahead_->since >= AheadBeforeAsking) {
            co_await catchUp();
        }
    }
}

bool CatalogController::needsPeers() const
{
    if (following_) {
        return false;
    }
    if (lostSince_) {
        return currentTime() - *lostSince_ >= settings_.lossBeforeAsking;
    }
    // A store that does not answer at all has not failed yet.
    return !state_.isReady() && !state_.stopping && currentTime() - started_ >= settings_.lossBeforeAsking;
}

/// A fleet that starts whole, or a VM after the other, would read everything from the store as many times as there are
/// nodes. The nodes that the settings name read it, the others ask these.
///
/// Guards against VMs among these that are down: a connection to one hangs, and while a node waited for each of them in
/// turn it turned all its callers away. So the next one is asked, and in the end the store, before the first has
/// failed.
asio::awaitable<void> CatalogController::begin()
{
    std::vector<Endpoint> seeds = state_.settings.seeds;
    const bool isSeed = std::erase(seeds, state_.settings.starters) > 0;
    std::shuffle(seeds.begin(), seeds.end(), state_.random);
    if (!isSeed) {
        asio::steady_timer timer(executor_);
        for (const Endpoint &seed : seeds) {
            asio::co_spawn(executor_, beginAt(seed), asio::detached);
            timer.expires_after(SeedStagger);
            co_await timer.async_wait(asio::use_awaitable);
            if (following_) {
                break;
            }
        }
        // One that answers late starts itself and reads the store just now; with callers here there is no time for
        // that.
        while (!following_ && seedsAsked_ > 0 && !callersWait_) {
            timer.expires_after(SeedStagger);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    if (!following_) {
        source_.resume(StoreRevision(), false);
    }
    co_await followOthers();
}

asio::awaitable<void> CatalogController::beginAt(Endpoint seed)
{
    ++seedsAsked_;
    const Result<Catalog> catalog = co_await ask(seed, SeedWait, SeedWait + FollowMargin);
    --seedsAsked_;
    const bool isFirst = !following_ && mark().routes.value() == 0;
    if (!isFirst || !isUsable(catalog) || catalog.value().has.routes.value() == 0) {
        co_return;
    }
    heardAt_ = currentTime();
    hops_ = catalog.value().hops;
    take(seed, catalog.value());
    beginFollowing(seed, hops_);
}

bool CatalogController::isUsable(const Result<Catalog> &catalog)
{
    return catalog && catalog.value().storeInOrder && catalog.value().hops < MostHops;
}

asio::awaitable<void> CatalogController::followOthers()
{
    asio::steady_timer timer(executor_);
    while (true) {
        std::optional<Endpoint> reader;
        if (state_.directory.hasList() && !readsForOthers()) {
            const std::optional<Endpoint> chosen = election_.source(currentTime());
            reader = chosen ? chosen : following_;
        }
        bool followed = false;
        if (reader) {
            followed = co_await followOnce(*reader);
        } else if (following_) {
            endFollowing("this node reads for others");
        }
        if (!followed) {
            timer.expires_after(FollowPause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

/// While a fleet starts, the list holds few nodes or none, and each would take itself for the one that reads. One that
/// is not on the list yet goes on with the node that it began at.
bool CatalogController::readsForOthers() const
{
    const bool isListed = state_.directory.findByAddress(state_.settings.upstream) != nullptr;
    return election_.isReader() && (isListed || !following_);
}

asio::awaitable<bool> CatalogController::followOnce(Endpoint reader)
{
    // The first answer comes at once: until then this node reads for itself.
    const Milliseconds wait = following_ == reader ? FollowWait : Milliseconds{0};
    const TimePoint asked = currentTime();
    const Result<Catalog> catalog = co_await ask(reader, wait, wait + FollowMargin);
    if (!isUsable(catalog)) {
        election_.failed(reader, currentTime());
        if (following_ == reader) {
            endFollowing(catalog ? "the node followed can't read the platform" : catalog.error().detail);
        }
        co_return false;
    }
    election_.answered(reader);
    heardAt_ = currentTime();
    hops_ = catalog.value().hops;
    co_await checkOwnWay(catalog.value());
    const bool brought = take(reader, catalog.value());
    const bool isNew = following_ != reader;
    if (isNew) {
        beginFollowing(reader, catalog.value().hops);
    }
    // An answer that came at once and brought nothing, as when its routes can't be read here, would come again at once.
    co_return brought || isNew || currentTime() - asked >= FollowPause;
}

void CatalogController::beginFollowing(const Endpoint &reader, std::uint8_t hops)
{
    if (!following_) {
        source_.suspend();
    }
    following_ = reader;
    log_.followBegun(reader, hops);
}

void CatalogController::endFollowing(std::string_view why)
{
    log_.followEnded(*following_, why, currentTime() - heardAt_);
    following_.reset();
    source_.resume(state_.directory.revision(), lostSince_.has_value());
    wakeAskers();
}

/// Whether upstreams vanish with it that did not say that they leave.
bool CatalogController::removesSilently(const Catalog &catalog) const
{
    std::set<UpstreamName> listed;
    std::set<UpstreamName> removed;
    for (const InstanceChange &change : catalog.changes) {
        (change.record ? listed : removed).insert(change.id);
    }
    bool silently = false;
    state_.directory.forEachReady([&](const InstanceRecord &record) {
        const bool vanishes = catalog.whole ? !listed.contains(record.id) : removed.contains(record.id);
        silently = silently || vanishes;
    });
    return silently;
}

/// Guards against taking part in a mass lapse: VMs that are cut off from the store can't renew their entries and vanish
/// from the list, though they live and reach each other. A node among them that reads the store itself knows that it is
/// cut off and goes on using them; one that follows a node outside has to find out.
asio::awaitable<void> CatalogController::checkOwnWay(const Catalog &catalog)
{
    if (!lostSince_ && (catalog.changes.empty() || !removesSilently(catalog))) {
        co_return;
    }
    const bool reachable = co_await source_.isReachable();
    if (!reachable && !lostSince_) {
        sourceLost("this node can't read the platform, the node that it follows can");
    } else if (reachable && lostSince_) {
        // The node followed read the store all the while: what it removed is gone.
        state_.directory.storeSeenInOrder(true);
        sourceBack();
    }
}

asio::awaitable<Result<Catalog>> CatalogController::ask(Endpoint peer, Milliseconds wait, Milliseconds limit)
{
    const CatalogRequest request{mark(), wait};
    const TimePoint asked = currentTime();
    Result<Catalog> answer = co_await peers_.catalog(std::move(peer), request, asked + limit);
    if (answer) {
        Catalog &catalog = answer.value();
        // Clocks stand still in a suspended VM, each its own.
        const Milliseconds onTheWay = std::max(since(asked) - catalog.held, Milliseconds{0});
        catalog.routesAge += onTheWay;
        catalog.listAge += onTheWay;
    }
    co_return answer;
}

asio::awaitable<void> CatalogController::askPeers()
{
    for (const Endpoint &peer : peersToAsk()) {
        const Result<Catalog> catalog = co_await ask(peer, Milliseconds{0}, PeerLimit);
        if (catalog) {
            state_.directory.storeSeenInOrder(catalog.value().storeInOrder);
            take(peer, catalog.value());
        }
    }
}

/// A peer has had more than this node for a while, so that the source of this one has fallen silent.
asio::awaitable<void> CatalogController::catchUp()
{
    const Endpoint peer = std::exchange(ahead_, std::nullopt)->peer;
    const Result<Catalog> catalog = co_await ask(peer, Milliseconds{0}, PeerLimit);
    if (!catalog || !take(peer, catalog.value())) {
        co_return;
    }
    log_.caughtUp(peer);
    // A follower goes on: its reader learns of the change in the same way.
    if (!following_ && !lostSince_) {
        source_.resume(state_.directory.revision(), false);
    }
}

/// Peers from the list; before there is one, those that the settings name.
std::vector<Endpoint> CatalogController::peersToAsk()
{
    std::vector<Endpoint> all;
    const Endpoint own = ownNode();
    state_.directory.forEachReady([&](const InstanceRecord &record) {
        if (record.node != own) {
            all.push_back(record.node);
        }
    });
    if (all.empty()) {
        all = state_.settings.seeds;
    }
    std::shuffle(all.begin(), all.end(), state_.random);
    all.resize(std::min(all.size(), PeersInRound));
    return all;
}

bool CatalogController::take(const Endpoint &peer, const Catalog &catalog)
{
    const RouteVersion before = mark().routes;
    takeRoutes(peer, catalog);
    const bool listIsNew = takeList(peer, catalog);
    if (ahead_ && ahead_->peer == peer) {
        ahead_.reset();
    }
    return listIsNew || before < mark().routes;
}

bool CatalogController::takeList(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.has.list <= mark().list) {
        return false;
    }
    if (!catalog.whole) {
        return applyChanges(catalog.changes, catalog.has.list, {peer.value(), catalog.listAge});
    }
    InstanceSnapshot snapshot;
    snapshot.revision = catalog.has.list;
    for (const InstanceChange &change : catalog.changes) {
        if (change.record) {
            snapshot.records.push_back(*change.record);
        }
    }
    const bool applied = state_.directory.applySnapshot(snapshot, currentTime());
    if (applied) {
        noteListRead({peer.value(), catalog.listAge});
        log_.wholeList(state_.directory, peer.value(), "whole");
        listChanged();
    }
    return applied;
}

}

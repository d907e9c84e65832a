#include "sidecar/catalogcontroller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "instances/peerchoice.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Peers asked in one round. One may be cut off itself; with two the news passes through a fleet in a few rounds.
constexpr std::size_t PeersInRound = 2;

SourceReport reportOf(const Catalog &catalog)
{
    return {catalog.store, catalog.hops, catalog.reader, catalog.storeAge, catalog.storeAvailableFor};
}

}

CatalogController::CatalogController(asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                                     PeerClient &peers, const DecisionSettings &decisions,
                                     std::function<void()> changed)
    : executor_(executor)
    , state_(state)
    , source_(source)
    , peers_(peers)
    , times_(decisions.catalog)
    , log_(state.log, state.metrics)
    , changed_(std::move(changed))
    , contents_(
          state, source, log_, [this] { listChanged(); }, [this] { contentsChanged(); })
    , plan_(state.location.region, decisions.readers, decisions.catalog, Random(state.random()))
    , seeds_(executor, state, times_, seedInquirer())
    , started_(currentTime())
    , news_(executor, asio::steady_timer::time_point::max())
{
}

SeedInquirer CatalogController::seedInquirer()
{
    SeedInquirer inquirer;
    inquirer.ask = [this](Endpoint seed) {
        const CatalogRequest wanted = request(times_.seedWait, StoreState::Available);
        return ask(std::move(seed), wanted, times_.seedWait + times_.followMargin);
    };
    inquirer.take = [this](const Endpoint &seed, const Catalog &catalog) { followIfComplete(seed, catalog); };
    inquirer.follows = [this] { return plan_.following().has_value(); };
    inquirer.hasRoutes = [this] { return contents_.versions().routes.value() > 0; };
    return inquirer;
}

void CatalogController::start()
{
    source_.attach(*this);
    asio::co_spawn(executor_, watchOver(), asio::detached);
    asio::co_spawn(executor_, begin(), asio::detached);
}

std::string CatalogController::sourceName() const
{
    if (plan_.following()) {
        return plan_.following()->value();
    }
    return plan_.ownLostSince() ? "lost" : std::string(NewsOrigin::Platform);
}

StoreState CatalogController::storeState() const
{
    const TimePoint now = currentTime();
    return plan_.store(now, state_.directory.holdsRemovals(now));
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
    // A node that has just started waits as well: it may have read all in a moment.
    const auto storeIsNews = [this, &request] {
        return storeState() != request.known && (state_.directory.hasList() || plan_.ownLostSince());
    };
    while (!contents_.hasNewsFor(request.have) && !storeIsNews() && currentTime() < end) {
        boost::system::error_code ignored;
        co_await news_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    Catalog catalog;
    catalog.store = state_.directory.hasList() ? storeState() : StoreState::Unavailable;
    catalog.hops = plan_.hops();
    catalog.reader = plan_.reader();
    catalog.storeAge = plan_.age(currentTime());
    catalog.storeAvailableFor = plan_.storeAvailableFor(currentTime());
    catalog.quarantine = state_.quarantine.digest();
    catalog.held = timeSince(asked);
    contents_.writeNews(request.have, catalog);
    co_return catalog;
}

void CatalogController::recordVersions(const Endpoint &peer, const CatalogVersions &versions)
{
    if (!contents_.isBehind(versions)) {
        return;
    }
    const TimePoint since = ahead_ ? ahead_->since : currentTime();
    ahead_ = Ahead{peer, versions, since};
}

void CatalogController::routesRead(PublishedRoutes routes)
{
    plan_.recordStoreRead(currentTime());
    contents_.takeRoutesRead(std::move(routes));
}

void CatalogController::listRead(const InstanceSnapshot &snapshot)
{
    plan_.recordStoreRead(currentTime());
    contents_.takeListRead(snapshot);
}

void CatalogController::changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    contents_.takeChangesRead(changes, reached);
    wakeAskers();
}

void CatalogController::listChanged()
{
    const std::optional<Endpoint> before = plan_.following();
    const bool isListed = state_.directory.findByAddress(state_.settings.upstream) != nullptr;
    plan_.listChanged(state_.directory, state_.ownNode(), isListed);
    logFollowing(before, "this node reads for others");
    applyReading();
}

void CatalogController::contentsChanged()
{
    wakeAskers();
    changed_();
}

void CatalogController::sourceLost(std::string_view why)
{
    plan_.ownReadingLost(currentTime());
    log_.sourceLost(why);
    applyStoreState();
    wakeAskers();
}

void CatalogController::sourceBack()
{
    const std::optional<Endpoint> before = plan_.following();
    const auto since = plan_.ownLostSince();
    plan_.ownReadingBack(currentTime());
    log_.sourceBack(since ? currentTime() - *since : Duration{0});
    logFollowing(before, "this node reads for others");
    applyStoreState();
    wakeAskers();
}

/// Guards against a mass lapse: while the store is away, leases can't be renewed.
void CatalogController::applyStoreState()
{
    const bool readsInVain = reading_ != StoreReading::None && plan_.ownLostSince();
    const bool lost = readsInVain || isCutOff_ || plan_.isStoreReportedUnavailable();
    if (std::exchange(storeIsLost_, lost) == lost) {
        return;
    }
    if (lost) {
        state_.directory.storeLost(plan_.lastStoreAvailable());
    } else {
        state_.directory.storeBack(currentTime());
    }
    log_.storeState(storeState());
    wakeAskers();
}

void CatalogController::applyReading()
{
    if (!begun_) {
        return;
    }
    const StoreReading wanted = plan_.reading();
    const bool reads = reading_ != StoreReading::None;
    const bool shouldRead = wanted != StoreReading::None;
    reading_ = wanted;
    log_.reads(shouldRead);
    if (shouldRead && !reads) {
        plan_.beginReading(currentTime());
        const bool standby = wanted == StoreReading::Standby;
        source_.resume(state_.directory.revision(), true, standby ? times_.standbyInterval : times_.readerPause);
    } else if (reads && !shouldRead) {
        source_.suspend();
    }
    applyStoreState();
}

asio::awaitable<void> CatalogController::watchOver()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(times_.round);
        co_await timer.async_wait(asio::use_awaitable);
        contents_.expire();
        if (needsPeers()) {
            co_await askPeers();
        }
        if (plan_.wantsStoreProbe(currentTime())) {
            co_await look();
        }
        if (ahead_ && !contents_.isBehind(ahead_->versions)) {
            ahead_.reset();
        }
        if (ahead_ && currentTime() - ahead_->since >= times_.aheadBeforeAsking) {
            co_await catchUp();
        }
    }
}

bool CatalogController::needsPeers() const
{
    const TimePoint now = currentTime();
    // A whole region may have been without the store, and only others know that it was there.
    if (state_.directory.holdsRecords(now)) {
        return true;
    }
    if (plan_.following()) {
        return false;
    }
    if (plan_.ownLostSince()) {
        return now - *plan_.ownLostSince() >= times_.lossBeforeAsking;
    }
    // A store that does not answer at all has not failed yet.
    return !state_.isReady() && !state_.stopping && now - started_ >= times_.lossBeforeAsking;
}

asio::awaitable<void> CatalogController::begin()
{
    co_await seeds_.run();
    begun_ = true;
    if (!plan_.following()) {
        reading_ = StoreReading::Usual;
        source_.resume(StoreRevision(), false, seeds_.saidAway() ? times_.standbyInterval : times_.readerPause);
    }
    applyReading();
    co_await followOthers();
}

/// While this node starts. Whatever the store is there: a node that takes news and follows nobody hears of nothing
/// newer.
void CatalogController::followIfComplete(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.has.routes.value() > 0) {
        takeAnswer(peer, catalog);
    }
}

asio::awaitable<void> CatalogController::followOthers()
{
    asio::steady_timer timer(executor_);
    while (true) {
        std::optional<SourceQuery> query;
        if (state_.directory.hasList()) {
            query = plan_.nextQuery(currentTime());
            applyReading();
        }
        // Not one expression: g++ 12 destroys the temporaries of a co_await in a branch that was not taken.
        bool goesOn = false;
        if (query) {
            goesOn = co_await askOnce(std::move(*query));
        }
        if (!goesOn) {
            timer.expires_after(times_.followPause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
}

asio::awaitable<bool> CatalogController::askOnce(SourceQuery query)
{
    const std::optional<Endpoint> before = plan_.following();
    const TimePoint asked = currentTime();
    const Result<Catalog> catalog =
        co_await ask(query.node, request(query.wait, query.known), query.wait + times_.followMargin);
    if (!catalog) {
        plan_.silent(query.node, currentTime());
        logFollowing(before, catalog.error().detail);
        applyReading();
        // Another source is asked at once.
        co_return currentTime() - asked >= times_.followPause;
    }
    co_await checkOwnWay(catalog.value());
    const CatalogVersions had = contents_.versions();
    takeAnswer(query.node, catalog.value());
    const bool brought = had.routes < contents_.versions().routes || had.list < contents_.versions().list;
    const bool isNew = before != plan_.following();
    // An answer that came at once and brought nothing, as when its routes can't be read here, would come again at once.
    co_return brought || isNew || currentTime() - asked >= times_.followPause;
}

void CatalogController::takeAnswer(const Endpoint &peer, const Catalog &catalog)
{
    const TimePoint now = currentTime();
    const std::optional<Endpoint> before = plan_.following();
    const StoreState known = storeState();
    const TimePoint lastStoreAvailable = plan_.lastStoreAvailable();
    plan_.answered(peer, reportOf(catalog), now);
    logFollowing(before, "another node can read the platform");
    const bool settles = catalog.store == StoreState::Recovering && plan_.following() == peer;
    if (settles && !storeIsLost_ && !state_.directory.holdsRemovals(now)) {
        // What lapsed while the store was away may be removed by what this answer brings.
        state_.directory.storeLost(lastStoreAvailable);
        state_.directory.storeBack(now);
    }
    if (catalog.store == StoreState::Available && plan_.following() == peer) {
        noteStoreRead(catalog);
    }
    applyReading();
    (void)take(peer, catalog);
    if (storeState() != known) {
        log_.storeState(storeState());
        wakeAskers();
    }
}

void CatalogController::noteStoreRead(const Catalog &catalog)
{
    const TimePoint now = currentTime();
    state_.directory.storeAvailableThroughout(now - catalog.storeAvailableFor, now - catalog.storeAge);
}

void CatalogController::logFollowing(const std::optional<Endpoint> &before, std::string_view why)
{
    if (before == plan_.following()) {
        return;
    }
    if (plan_.following()) {
        log_.followBegun(*plan_.following(), plan_.hops());
    } else {
        log_.followEnded(*before, why, currentTime() - plan_.provenAt());
    }
}

/// Guards against taking part in a mass lapse: VMs that are cut off from the store can't renew their entries and vanish
/// from the list, though they live and reach each other. A node among them that reads the store itself knows that it is
/// cut off and goes on using them; one that follows a node outside has to find out.
asio::awaitable<void> CatalogController::checkOwnWay(const Catalog &catalog)
{
    const bool othersRead = catalog.store != StoreState::Unavailable;
    const bool removes = !catalog.changes.empty() && contents_.removesSilently(catalog);
    if (!othersRead || storeIsLost_ != isCutOff_ || (!isCutOff_ && !removes)) {
        co_return;
    }
    const bool reachable = co_await source_.isReachable();
    if (reachable == !isCutOff_) {
        co_return;
    }
    isCutOff_ = !reachable;
    if (reachable) {
        // The node followed read the store all the while: what it removed is gone.
        state_.directory.storeSeenInOrder(true);
    }
    log_.cutOff(isCutOff_);
    applyStoreState();
}

asio::awaitable<void> CatalogController::look()
{
    const bool reachable = co_await source_.isReachable();
    if (reachable) {
        plan_.storeProbeSucceeded(currentTime());
        applyReading();
    }
}

CatalogRequest CatalogController::request(Milliseconds wait, StoreState known) const
{
    return {contents_.versions(), wait, known};
}

asio::awaitable<Result<Catalog>> CatalogController::ask(Endpoint peer, CatalogRequest request, Milliseconds limit)
{
    const TimePoint asked = currentTime();
    Result<Catalog> answer = co_await peers_.catalog(peer, request, asked + limit);
    if (answer) {
        if (quarantineListener_) {
            quarantineListener_(peer, answer.value().quarantine);
        }
        Catalog &catalog = answer.value();
        // Clocks stand still in a suspended VM, each its own.
        const Milliseconds onTheWay = std::max(timeSince(asked) - catalog.held, Milliseconds{0});
        catalog.routesAge += onTheWay;
        catalog.listAge += onTheWay;
        catalog.storeAge += onTheWay;
    }
    co_return answer;
}

asio::awaitable<void> CatalogController::askPeers()
{
    for (const Endpoint &peer : peersToAsk()) {
        const Result<Catalog> catalog =
            co_await ask(peer, request(Milliseconds{0}, StoreState::Available), times_.peerLimit);
        if (!catalog) {
            continue;
        }
        const bool storeAvailable = catalog.value().store == StoreState::Available;
        if (plan_.ownLostSince() || !state_.isReady()) {
            state_.directory.storeSeenInOrder(storeAvailable);
        }
        if (storeAvailable) {
            noteStoreRead(catalog.value());
        }
        if (begun_) {
            (void)take(peer, catalog.value());
        } else {
            followIfComplete(peer, catalog.value());
        }
    }
}

/// A peer has had more than this node for a while, so that the source of this one has fallen silent.
asio::awaitable<void> CatalogController::catchUp()
{
    const Endpoint peer = std::exchange(ahead_, std::nullopt)->peer;
    const Result<Catalog> catalog =
        co_await ask(peer, request(Milliseconds{0}, StoreState::Available), times_.peerLimit);
    if (!catalog || !take(peer, catalog.value())) {
        co_return;
    }
    log_.caughtUp(peer);
    // A follower goes on: its reader learns of the change in the same way.
    if (!plan_.following() && !plan_.ownLostSince()) {
        source_.resume(state_.directory.revision(), false, times_.readerPause);
    }
}

/// Peers from the list; before there is one, those that the settings name.
std::vector<Endpoint> CatalogController::peersToAsk()
{
    if (state_.directory.holdsRecords(currentTime())) {
        const RegionName &region = state_.location.region;
        if (std::vector<Endpoint> others = onePeerOfEachOtherRegion(state_.directory, region, state_.random);
            !others.empty()) {
            return others;
        }
    }
    std::vector<Endpoint> peers = anyPeers(state_.directory, state_.ownNode(), PeersInRound, state_.random);
    return peers.empty() ? drawSome(state_.settings.seeds, PeersInRound, state_.random) : peers;
}

bool CatalogController::take(const Endpoint &peer, const Catalog &catalog)
{
    const bool brought = contents_.take(peer, catalog);
    if (ahead_ && ahead_->peer == peer) {
        ahead_.reset();
    }
    wakeAskers();
    return brought;
}

}

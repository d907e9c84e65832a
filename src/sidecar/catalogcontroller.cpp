#include "sidecar/catalogcontroller.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "instances/peerchoice.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Number of peers asked in one round. A peer may itself be cut off. With two peers, an update spreads through a fleet
/// in a few rounds.
constexpr std::size_t PeersPerRound = 2;
/// In so many turns of the event loop, answers that wait for an update are written to their connections. One turn each
/// is taken by the signal, by the coroutines of the answer, by the RPC library and by the write.
constexpr int TurnsToAnswer = 16;

SourceReport reportOf(const Catalog &catalog)
{
    SourceReport report;
    report.store = catalog.store;
    report.hops = catalog.hops;
    report.reader = catalog.reader;
    report.via = catalog.via;
    report.age = catalog.storeAge;
    report.storeAvailableFor = catalog.storeAvailableFor;
    report.isSearching = catalog.isSearching;
    report.isStoreUnwatched = catalog.isStoreUnwatched;
    return report;
}

}

CatalogController::CatalogController(asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                                     PeerClient &peerClient, const DecisionSettings &decisions,
                                     std::function<void()> onChanged)
    : executor_(executor)
    , state_(state)
    , source_(source)
    , client_(peerClient)
    , times_(decisions.catalog)
    , log_(state.log, state.metrics)
    , onChanged_(std::move(onChanged))
    , contents_(
          state, source, log_, [this] { listChanged(); }, [this] { contentsChanged(); })
    , access_(executor, state, source, log_, [this] { applyStoreState(); })
    , newerPeers_(contents_, decisions.catalog.peerLeadTolerance)
    , plan_(state.location.region, decisions.readers, decisions.catalog, Random(state.random()))
    , bootstrap_(executor, state, times_, bootstrapCallbacks())
    , exchange_(executor, client_, plan_, times_, exchangeCallbacks())
    , alternatives_(executor, alternativesCallbacks())
    , startedAt_(currentTime())
    , lastStoreAnswer_(startedAt_)
    , queryPause_(executor)
    , changeSignal_(executor, asio::steady_timer::time_point::max())
{
}

CatalogBootstrapCallbacks CatalogController::bootstrapCallbacks()
{
    CatalogBootstrapCallbacks callbacks;
    callbacks.ask = [this](Endpoint seed) {
        const CatalogRequest catalogRequest = makeRequest(times_.seedWait, StoreState::Available);
        return client_.ask(std::move(seed), catalogRequest, times_.seedWait + times_.followMargin);
    };
    callbacks.applyAnswer = [this](const Endpoint &seed, const Catalog &catalog) { followIfHasRoutes(seed, catalog); };
    callbacks.isFollowing = [this] { return plan_.following().has_value(); };
    callbacks.hasRoutes = [this] { return contents_.versions().routes.value() > 0; };
    return callbacks;
}

ReaderExchangeCallbacks CatalogController::exchangeCallbacks()
{
    ReaderExchangeCallbacks callbacks;
    callbacks.makeRequest = [this](Milliseconds wait, StoreState knownState) { return makeRequest(wait, knownState); };
    callbacks.apply = [this](Endpoint reader, Catalog catalog) {
        return takeUpdates(std::move(reader), std::move(catalog));
    };
    return callbacks;
}

AlternativeSourcesCallbacks CatalogController::alternativesCallbacks()
{
    AlternativeSourcesCallbacks callbacks;
    callbacks.ask = [this](Endpoint peer) {
        return client_.ask(std::move(peer), makeRequest(Milliseconds{0}, StoreState::Available), times_.peerTimeout);
    };
    callbacks.isUsable = [this](const Endpoint &peer, const Catalog &catalog) {
        return plan_.isUsable(peer, reportOf(catalog), currentTime());
    };
    callbacks.takeUpdates = [this](Endpoint peer, Catalog catalog) {
        return takeUpdates(std::move(peer), std::move(catalog));
    };
    callbacks.onAllFailed = [this] {
        // The overdue answer may have come meanwhile.
        if (isSourceOverdue_) {
            plan_.onAlternativesFailed();
            applyReading();
        }
    };
    return callbacks;
}

void CatalogController::start()
{
    source_.attach(*this);
    asio::co_spawn(executor_, runPeriodicChecks(), asio::detached);
    asio::co_spawn(executor_, bootstrapAndFollow(), asio::detached);
    asio::co_spawn(executor_, exchange_.run(), asio::detached);
}

std::string CatalogController::sourceName() const
{
    if (plan_.following()) {
        return plan_.following()->value();
    }
    return plan_.ownReadsFailingSince() ? "lost" : std::string(UpdateOrigin::Platform);
}

StoreState CatalogController::storeState() const
{
    const TimePoint now = currentTime();
    return plan_.store(now, state_.directory.holdsRemovals(now));
}

asio::awaitable<Catalog> CatalogController::answer(CatalogRequest request)
{
    const TimePoint askedAt = currentTime();
    const TimePoint deadline = askedAt + request.wait;
    asio::steady_timer waitTimer(executor_, deadline);
    waitTimer.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            wakeWaitingRequests();
        }
    });
    // A node that has just started holds the request as well, because it may soon have read everything itself.
    const auto hasNewStoreState = [this, &request] {
        return storeState() != request.knownState && (state_.directory.hasList() || plan_.ownReadsFailingSince());
    };
    const auto hasNewConfirmation = [this, &request, askedAt] {
        return request.wantsConfirmation && confirmation_.isAfter(askedAt);
    };
    while (!contents_.hasUpdatesFor(request.have) && !hasNewStoreState() && !hasNewConfirmation()
           && currentTime() < deadline) {
        boost::system::error_code ignored;
        co_await changeSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    Catalog catalog;
    catalog.store = state_.directory.hasList() ? storeState() : StoreState::Unavailable;
    catalog.hops = plan_.hops();
    catalog.reader = plan_.reader();
    catalog.via = plan_.via();
    catalog.storeAge = plan_.age(currentTime());
    catalog.storeAvailableFor = plan_.storeAvailableFor(currentTime());
    catalog.isSearching = plan_.isSearching();
    catalog.isStoreUnwatched = plan_.isStoreUnwatched();
    catalog.confirmedAge = confirmation_.age();
    catalog.quarantine = state_.quarantine.digest();
    catalog.heldFor = timeSince(askedAt);
    contents_.writeUpdates(request.have, catalog);
    co_return catalog;
}

bool CatalogController::mayLackRoutes() const
{
    return newerPeers_.haveNewerRoutes() || isSourceOverdue_ || plan_.isStoreOverdue();
}

Milliseconds CatalogController::searchingFor() const
{
    return searchingSince_ ? timeSince(*searchingSince_) : Milliseconds{0};
}

bool CatalogController::wantsRoutes(RouteVersion version)
{
    plan_.recordStoreRead(currentTime());
    return version > contents_.versions().routes;
}

void CatalogController::onRoutesRead(PublishedRoutes routes)
{
    plan_.recordStoreRead(currentTime());
    contents_.applyRoutesFromStore(std::move(routes));
}

void CatalogController::onListRead(const InstanceSnapshot &snapshot)
{
    plan_.recordStoreRead(currentTime());
    contents_.applyListFromStore(snapshot);
}

void CatalogController::onChangesRead(const std::vector<InstanceChange> &changes, StoreRevision reached)
{
    contents_.applyChangesFromStore(changes, reached);
    wakeWaitingRequests();
}

void CatalogController::onEvacuationsRead(const EvacuationSnapshot &snapshot)
{
    contents_.applyEvacuationsFromStore(snapshot);
}

void CatalogController::onEvacuationChangesRead(const std::vector<EvacuationChange> &changes, StoreRevision reached)
{
    contents_.applyEvacuationChangesFromStore(changes, reached);
}

void CatalogController::listChanged()
{
    const std::optional<Endpoint> before = plan_.following();
    const bool isListed = state_.directory.findByAddress(state_.settings.upstream) != nullptr;
    plan_.listChanged(state_.directory, state_.ownAddress(), isListed);
    logFollowingChange(before, "this node reads for others");
    applyReading();
}

void CatalogController::contentsChanged()
{
    wakeWaitingRequests();
    onChanged_();
}

void CatalogController::onSourceLost(std::string_view reason)
{
    plan_.onOwnReadsFailed(currentTime());
    log_.logSourceLost(reason, timeSince(lastStoreAnswer_));
    applyStoreState();
    wakeWaitingRequests();
}

void CatalogController::onSourceRestored()
{
    const std::optional<Endpoint> before = plan_.following();
    const auto since = plan_.ownReadsFailingSince();
    plan_.onOwnReadsRecovered(currentTime());
    log_.logSourceRestored(since ? currentTime() - *since : Duration{0});
    logFollowingChange(before, "this node reads for others");
    applyStoreState();
    wakeWaitingRequests();
}

void CatalogController::onConfirmed(TimePoint at)
{
    if (confirmation_.record(at)) {
        wakeWaitingRequests();
    }
}

void CatalogController::onStoreAnswered()
{
    const std::optional<Endpoint> before = plan_.following();
    isSourceOverdue_ = false;
    lastStoreAnswer_ = currentTime();
    plan_.recordStoreAnswer(lastStoreAnswer_);
    logFollowingChange(before, "the store answers this node again");
}

void CatalogController::onStoreOverdue()
{
    plan_.onStoreOverdue();
    log_.logStoreOverdue(timeSince(lastStoreAnswer_));
    queryPause_.cancel();
}

/// Guards against mass expiry: while the store is unavailable, leases can't be renewed, and the leases of upstreams
/// that are alive expire.
void CatalogController::applyStoreState()
{
    const bool ownReadingFails = reading_ != StoreReading::None && plan_.ownReadsFailingSince();
    const bool lost = ownReadingFails || access_.isCutOff() || plan_.isStoreReportedUnavailable();
    if (std::exchange(isStoreLost_, lost) == lost) {
        return;
    }
    if (lost) {
        state_.directory.onStoreLost(plan_.lastStoreAvailable());
    } else {
        state_.directory.onStoreRecovered(currentTime());
    }
    log_.logStoreState(storeState());
    wakeWaitingRequests();
}

void CatalogController::applyReading()
{
    if (!hasBootstrapped_) {
        return;
    }
    const StoreReading wanted = plan_.reading();
    const bool reads = reading_ != StoreReading::None;
    const bool shouldRead = wanted != StoreReading::None;
    reading_ = wanted;
    log_.setReadsStore(shouldRead);
    if (shouldRead && !reads) {
        plan_.beginReading(currentTime());
        const bool isStandby = wanted == StoreReading::Standby;
        source_.resume(state_.directory.revision(), true, isStandby ? times_.standbyInterval : times_.readerInterval);
    } else if (reads && !shouldRead) {
        source_.suspend();
    }
    applyStoreState();
}

asio::awaitable<void> CatalogController::runPeriodicChecks()
{
    asio::steady_timer timer(executor_);
    while (true) {
        timer.expires_after(times_.checkInterval);
        co_await timer.async_wait(asio::use_awaitable);
        log_.recordHoldUp(currentTime() - timer.expiry());
        contents_.expire();
        source_.setCheckTimes(plan_.checkTimes(currentTime()));
        if (plan_.wantsStoreProbe(currentTime())) {
            co_await probeStore();
        }
        if (needsPeers()) {
            co_await askPeers();
        }
        if (const auto peer = newerPeers_.takeOverdue(currentTime())) {
            co_await catchUp(*peer);
        }
    }
}

bool CatalogController::needsPeers() const
{
    const TimePoint now = currentTime();
    // A whole region may have lost the store, and only nodes of other regions know that it was available.
    if (state_.directory.holdsRecords(now)) {
        return true;
    }
    if (plan_.following()) {
        return false;
    }
    if (plan_.ownReadsFailingSince()) {
        return now - *plan_.ownReadsFailingSince() >= times_.storeLossTolerance;
    }
    // A store that does not answer at all has not reported an error yet, so the time since the start counts.
    return !state_.isReady() && !state_.isStopping && now - startedAt_ >= times_.storeLossTolerance;
}

asio::awaitable<void> CatalogController::bootstrapAndFollow()
{
    co_await bootstrap_.run();
    hasBootstrapped_ = true;
    if (!plan_.following()) {
        reading_ = StoreReading::Reader;
        source_.resume(StoreRevision(), false,
                       bootstrap_.isStoreReportedUnavailable() ? times_.standbyInterval : times_.readerInterval);
    }
    applyReading();
    co_await followOthers();
}

/// Used while this node starts. Follows @p peer whatever the state of its store: a node that took routes but follows
/// nobody would get no further updates. A node of an earlier version does not tell which zones are evacuated; this node
/// then reads the store itself.
void CatalogController::followIfHasRoutes(const Endpoint &peer, const Catalog &catalog)
{
    if (catalog.versions.routes.value() > 0 && catalog.evacuations) {
        handleAnswer(peer, catalog);
    }
}

asio::awaitable<void> CatalogController::followOthers()
{
    while (true) {
        std::optional<SourceQuery> query;
        if (state_.directory.hasList()) {
            query = plan_.nextQuery(currentTime());
            applyReading();
            recordSearch();
        }
        // This is not a single expression, since g++ 12 destroys the temporaries of a co_await in a branch that was not
        // taken.
        bool shouldContinue = false;
        if (query) {
            shouldContinue = co_await querySource(std::move(*query));
        }
        if (!shouldContinue) {
            boost::system::error_code ignored;
            queryPause_.expires_after(times_.followPause);
            co_await queryPause_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }
}

void CatalogController::recordSearch()
{
    if (plan_.isSearching() == searchingSince_.has_value()) {
        return;
    }
    if (searchingSince_) {
        log_.logSearchEnded(sourceName(), currentTime() - *searchingSince_);
        searchingSince_.reset();
    } else {
        log_.logSearchBegan(plan_.reader());
        searchingSince_ = currentTime();
    }
}

asio::awaitable<bool> CatalogController::querySource(SourceQuery query)
{
    const std::optional<Endpoint> before = plan_.following();
    const TimePoint askedAt = currentTime();
    const TimePoint dueAt = askedAt + query.wait + times_.answerOverdueTime;
    asio::steady_timer overdueTimer(executor_, dueAt);
    overdueTimer.async_wait([this, source = query.node, dueAt](const boost::system::error_code &error) {
        if (!error) {
            queryAlternatives(source, dueAt);
        }
    });
    const Result<Catalog> catalog =
        co_await client_.ask(query.node, makeRequest(query.wait, query.knownState), query.wait + times_.followMargin);
    overdueTimer.cancel();
    if (!catalog) {
        plan_.onNoAnswer(query.node, currentTime());
        logFollowingChange(before, catalog.error().detail);
        applyReading();
        // The next source is asked without a pause, unless this one failed at once.
        co_return currentTime() - askedAt >= times_.followPause;
    }
    isSourceOverdue_ = false;
    const CatalogVersions versionsBefore = contents_.versions();
    // Only the list has to wait for the check.
    co_await passRoutesOn(query.node, catalog.value());
    (void)contents_.applyOperatorUpdates(query.node, catalog.value());
    co_await checkOwnStoreAccess(catalog.value());
    handleAnswer(query.node, catalog.value());
    const bool hasChanged = versionsBefore != contents_.versions();
    const bool isSourceNew = before != plan_.following();
    // Guards against a busy loop: an answer that came at once and changed nothing, for example since its routes can't
    // be parsed here, would come again at once.
    co_return hasChanged || isSourceNew || currentTime() - askedAt >= times_.followPause;
}

void CatalogController::queryAlternatives(const Endpoint &source, TimePoint dueAt)
{
    const TimePoint now = currentTime();
    // If this process did not run for a while, the answer may have arrived and only not been read yet.
    const bool hasStalled = now - dueAt > times_.answerOverdueTime;
    if (hasStalled || client_.isReceivingLargeMessage(source, times_.followMargin)) {
        return;
    }
    isSourceOverdue_ = plan_.following() == source;
    const std::vector<Endpoint> peers = plan_.alternatives(source, now);
    for (const Endpoint &peer : peers) {
        log_.logOverdueAnswer(source, peer);
    }
    alternatives_.ask(peers);
}

asio::awaitable<void> CatalogController::takeUpdatesFrom(Endpoint peer)
{
    const Result<Catalog> catalog =
        co_await client_.ask(peer, makeRequest(Milliseconds{0}, StoreState::Available), times_.peerTimeout);
    if (catalog) {
        co_await takeUpdates(std::move(peer), catalog.value());
    }
}

asio::awaitable<void> CatalogController::takeUpdates(Endpoint peer, Catalog catalog)
{
    co_await passRoutesOn(peer, catalog);
    (void)contents_.applyOperatorUpdates(peer, catalog);
    co_await checkOwnStoreAccess(catalog);
    (void)applyCatalog(peer, catalog);
}

/// Parsing takes this node's one thread. Those that wait for the routes get them before.
asio::awaitable<void> CatalogController::passRoutesOn(const Endpoint &peer, const Catalog &catalog)
{
    if (!contents_.offerRoutes(peer, catalog)) {
        co_return;
    }
    wakeWaitingRequests();
    for (int turn = 0; turn < TurnsToAnswer; ++turn) {
        co_await asio::post(executor_, asio::use_awaitable);
    }
}

/// What this node has that the answering one lacks does no harm: it came from the store as well.
void CatalogController::takeConfirmation(const Catalog &catalog)
{
    if (!catalog.confirmedAge || contents_.isBehind(catalog.versions)) {
        return;
    }
    const TimePoint at = currentTime() - *catalog.confirmedAge;
    if (confirmation_.record(at)) {
        source_.recordConfirmation(at);
        wakeWaitingRequests();
    }
}

void CatalogController::handleAnswer(const Endpoint &peer, const Catalog &catalog)
{
    const TimePoint now = currentTime();
    const std::optional<Endpoint> before = plan_.following();
    const StoreState stateBefore = storeState();
    const TimePoint lastStoreAvailable = plan_.lastStoreAvailable();
    plan_.onAnswer(peer, reportOf(catalog), now);
    logFollowingChange(before, "another node can read the platform");
    const bool isSourceRecovering = catalog.store == StoreState::Recovering && plan_.following() == peer;
    if (isSourceRecovering && !isStoreLost_ && !state_.directory.holdsRemovals(now)) {
        // This answer may remove upstreams that are alive, whose leases expired while the store was unavailable.
        state_.directory.onStoreLost(lastStoreAvailable);
        state_.directory.onStoreRecovered(now);
    }
    if (catalog.store == StoreState::Available && plan_.following() == peer) {
        recordStoreAvailability(catalog);
    }
    applyReading();
    (void)applyCatalog(peer, catalog);
    if (storeState() != stateBefore) {
        log_.logStoreState(storeState());
        wakeWaitingRequests();
    }
}

void CatalogController::recordStoreAvailability(const Catalog &catalog)
{
    const TimePoint now = currentTime();
    state_.directory.storeAvailableThroughout(now - catalog.storeAvailableFor, now - catalog.storeAge);
}

void CatalogController::logFollowingChange(const std::optional<Endpoint> &before, std::string_view reason)
{
    if (before == plan_.following()) {
        return;
    }
    if (plan_.following()) {
        const Duration sinceStoreRead = currentTime() - plan_.lastStoreReadAt();
        log_.logFollowStarted(*plan_.following(), plan_.hops(), plan_.reader(), sinceStoreRead);
    } else {
        log_.logFollowEnded(*before, reason, currentTime() - plan_.lastStoreReadAt());
    }
}

asio::awaitable<void> CatalogController::checkOwnStoreAccess(const Catalog &catalog)
{
    const bool othersReadStore = catalog.store != StoreState::Unavailable;
    if (!othersReadStore || isStoreLost_ != access_.isCutOff()) {
        co_return;
    }
    const bool removesReady = !catalog.changes.empty() && contents_.removesReadyUpstreams(catalog);
    co_await access_.check(removesReady);
}

asio::awaitable<void> CatalogController::probeStore()
{
    const bool isReachable = co_await source_.isReachable();
    log_.logStoreProbe(isReachable);
    if (isReachable) {
        plan_.storeProbeSucceeded(currentTime());
        applyReading();
    }
}

CatalogRequest CatalogController::makeRequest(Milliseconds wait, StoreState knownState) const
{
    return {contents_.versionsForQuery(), wait, knownState};
}

asio::awaitable<void> CatalogController::askPeers()
{
    for (const Endpoint &peer : peersToAsk()) {
        const Result<Catalog> catalog =
            co_await client_.ask(peer, makeRequest(Milliseconds{0}, StoreState::Available), times_.peerTimeout);
        if (!catalog) {
            continue;
        }
        const bool storeAvailable = catalog.value().store == StoreState::Available;
        if (plan_.ownReadsFailingSince() || !state_.isReady()) {
            state_.directory.setStoreAvailableElsewhere(storeAvailable);
        }
        if (storeAvailable) {
            recordStoreAvailability(catalog.value());
        }
        if (hasBootstrapped_) {
            (void)applyCatalog(peer, catalog.value());
        } else {
            followIfHasRoutes(peer, catalog.value());
        }
    }
}

void CatalogController::takeNewerRoutes(const Endpoint &peer)
{
    // Requests that wait for the same change come together.
    if (!std::exchange(isTakingNewerRoutes_, true)) {
        asio::co_spawn(executor_, takeNewerRoutesFrom(peer), asio::detached);
    }
}

asio::awaitable<void> CatalogController::takeNewerRoutesFrom(Endpoint peer)
{
    co_await takeUpdatesFrom(std::move(peer));
    isTakingNewerRoutes_ = false;
}

/// Called when a peer has had newer versions than this node for a while, which shows that this node's own source has
/// stopped sending updates.
asio::awaitable<void> CatalogController::catchUp(Endpoint peer)
{
    const Result<Catalog> catalog =
        co_await client_.ask(peer, makeRequest(Milliseconds{0}, StoreState::Available), times_.peerTimeout);
    if (!catalog) {
        co_return;
    }
    co_await passRoutesOn(peer, catalog.value());
    if (!applyCatalog(peer, catalog.value())) {
        co_return;
    }
    log_.logCatchUp(peer);
    // A follower needs nothing more: its source learns of the change in the same way.
    if (!plan_.following() && !plan_.ownReadsFailingSince()) {
        source_.resume(state_.directory.revision(), false, times_.readerInterval);
    }
}

/// Peers from the instance list, or seeds from the settings while there is no list.
std::vector<Endpoint> CatalogController::peersToAsk()
{
    if (state_.directory.holdsRecords(currentTime())) {
        const RegionName &region = state_.location.region;
        if (std::vector<Endpoint> others = onePeerOfEachOtherRegion(state_.directory, region, state_.random);
            !others.empty()) {
            return others;
        }
    }
    std::vector<Endpoint> peers = samplePeers(state_.directory, state_.ownAddress(), PeersPerRound, state_.random);
    return peers.empty() ? sampleNodes(state_.settings.seeds, PeersPerRound, state_.random) : peers;
}

bool CatalogController::applyCatalog(const Endpoint &peer, const Catalog &catalog)
{
    const bool hasChanged = contents_.applyFromPeer(peer, catalog);
    newerPeers_.recordAnswer(peer);
    takeConfirmation(catalog);
    wakeWaitingRequests();
    return hasChanged;
}

}

#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/currenttime.h"
#include "instances/catalogplan.h"
#include "sidecar/alternativesources.h"
#include "sidecar/catalogbootstrap.h"
#include "sidecar/catalogclient.h"
#include "sidecar/catalogconfirmation.h"
#include "sidecar/catalogcontents.h"
#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/decisionsettings.h"
#include "sidecar/newerpeers.h"
#include "sidecar/readerexchange.h"
#include "sidecar/sidecarstate.h"
#include "sidecar/storeaccess.h"

namespace Egretpath
{

/// Carries out what CatalogPlan decides: gets routes and the instance list from other nodes or from the store, and
/// answers other nodes' requests for them.
///
/// Guards against a source that stops sending updates without an error: its node would keep old routes for as long as
/// the connection stands. Each answer of another node says which versions that node has, and a node that has newer
/// versions is asked for them. Thread safety: none. Precondition: references outlive the controller.
class CatalogController final : public CatalogSink
{
public:
    /// @p onChanged is called after each change of the routes or the list.
    CatalogController(boost::asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                      PeerClient &peerClient, const DecisionSettings &decisions, std::function<void()> onChanged);

    void start();
    /// What this node has and the requesting node lacks; see PeerService::catalog().
    [[nodiscard]] boost::asio::awaitable<Catalog> answer(CatalogRequest request);
    /// The versions of the routes and the list that this node has.
    [[nodiscard]] CatalogVersions versions() const { return contents_.versions(); }
    /// The source of routes and list, for operators: the address of the node that is followed, "platform" or "lost".
    [[nodiscard]] std::string sourceName() const;
    [[nodiscard]] bool readsStore() const { return reading_ != StoreReading::None; }
    [[nodiscard]] StoreState storeState() const;
    /// Whether other nodes may have routes that this node lacks: one of them has said so, or the answer of this node's
    /// source or of the store is overdue.
    [[nodiscard]] bool mayLackRoutes() const;
    /// For how long this node has had no source that is known to read the store; zero if it has one.
    [[nodiscard]] Milliseconds searchingFor() const;
    /// Records the versions that @p peer reported in an answer.
    void recordVersions(const Endpoint &peer, const CatalogVersions &versions)
    {
        newerPeers_.record(peer, versions, currentTime());
    }
    /// Calls @p listener with the digest of refused requests in each answer of another node.
    void onQuarantineDigest(std::function<void(const Endpoint &, QuarantineDigest)> listener)
    {
        client_.onQuarantineDigest(std::move(listener));
    }
    /// Gets the routes of @p peer, which are newer than those of this node, at once.
    void takeNewerRoutes(const Endpoint &peer);
    /// Records that a caller was refused because this node has no routes yet.
    void recordWaitingCaller() { bootstrap_.recordWaitingCaller(); }

    [[nodiscard]] bool wantsRoutes(RouteVersion version) override;
    void onRoutesRead(PublishedRoutes routes) override;
    void onListRead(const InstanceSnapshot &snapshot) override;
    void onChangesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) override;
    void onEvacuationsRead(const EvacuationSnapshot &snapshot) override;
    void onEvacuationChangesRead(const std::vector<EvacuationChange> &changes, StoreRevision reached) override;
    void onSourceLost(std::string_view reason) override;
    void onSourceRestored() override;
    void onEntryRefused(std::string_view key, std::string_view reason) override { log_.logRefusedEntry(key, reason); }
    void onStoreCalled(std::string_view call, std::string_view outcome) override { log_.countStoreCall(call, outcome); }
    void onConfirmed(TimePoint at) override;
    void onStoreAnswered() override;
    void onStoreOverdue() override;
    void onWatchSilent(const SilentWatch &silent) override { log_.logWatchSilent(silent); }

private:
    boost::asio::awaitable<void> runPeriodicChecks();
    /// Gets routes and list from a seed, or from the store if no seed has them; then follows other nodes.
    boost::asio::awaitable<void> bootstrapAndFollow();
    [[nodiscard]] CatalogBootstrapCallbacks bootstrapCallbacks();
    void followIfHasRoutes(const Endpoint &peer, const Catalog &catalog);
    boost::asio::awaitable<void> followOthers();
    /// Logs when this node begins or ends to search for a source.
    void recordSearch();
    /// Returns whether to send the next query without a pause.
    boost::asio::awaitable<bool> querySource(SourceQuery query);
    /// Queries other nodes if the answer of @p source, which was to come by @p dueAt, is late, and takes their updates.
    void queryAlternatives(const Endpoint &source, TimePoint dueAt);
    /// Queries @p peer and takes its updates without following it.
    boost::asio::awaitable<void> takeUpdatesFrom(Endpoint peer);
    /// Takes the updates of @p catalog, an answer of @p peer, without following it.
    boost::asio::awaitable<void> takeUpdates(Endpoint peer, Catalog catalog);
    /// Sends the changed routes of @p catalog, an answer of @p peer, to the nodes that wait for them. To be called
    /// before they are applied.
    boost::asio::awaitable<void> passRoutesOn(const Endpoint &peer, const Catalog &catalog);
    [[nodiscard]] ReaderExchangeCallbacks exchangeCallbacks();
    [[nodiscard]] AlternativeSourcesCallbacks alternativesCallbacks();
    /// Takes over from @p catalog, which was applied, up to when this node has all that the store had accepted.
    void takeConfirmation(const Catalog &catalog);
    /// Called before the list of @p catalog is applied. See StoreAccess.
    boost::asio::awaitable<void> checkOwnStoreAccess(const Catalog &catalog);
    /// Sends a single cheap call to the store. Called from time to time while other nodes report the store as
    /// unavailable.
    boost::asio::awaitable<void> probeStore();
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> catchUp(Endpoint peer);
    boost::asio::awaitable<void> takeNewerRoutesFrom(Endpoint peer);
    [[nodiscard]] std::vector<Endpoint> peersToAsk();
    [[nodiscard]] CatalogRequest makeRequest(Milliseconds wait, StoreState knownState) const;
    void handleAnswer(const Endpoint &peer, const Catalog &catalog);
    [[nodiscard]] bool applyCatalog(const Endpoint &peer, const Catalog &catalog);
    /// Starts or stops reading the store, as the plan says.
    void applyReading();
    /// Tells the directory whether removals from now on may be expired leases of upstreams that are alive.
    void applyStoreState();
    /// Tells the directory for how long the store was available to the node that @p catalog originates from.
    /// Precondition: the sender reports the store available.
    void recordStoreAvailability(const Catalog &catalog);
    void logFollowingChange(const std::optional<Endpoint> &before, std::string_view reason);
    [[nodiscard]] bool needsPeers() const;
    void listChanged();
    void contentsChanged();
    void wakeWaitingRequests() { changeSignal_.cancel(); }

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    CatalogSource &source_;
    CatalogClient client_;
    CatalogTimes times_;
    CatalogLog log_;
    std::function<void()> onChanged_;
    CatalogContents contents_;
    StoreAccess access_;
    NewerPeers newerPeers_;
    CatalogPlan plan_;
    CatalogBootstrap bootstrap_;
    ReaderExchange exchange_;
    AlternativeSources alternatives_;
    CatalogConfirmation confirmation_;
    TimePoint startedAt_;
    /// When the store last answered a call of this node; before the first answer, when the node started.
    TimePoint lastStoreAnswer_;
    StoreReading reading_ = StoreReading::None;
    /// Whether the seeds were asked. From then on the plan decides whether this node reads the store.
    bool hasBootstrapped_ = false;
    /// Whether the store was last reported to the directory as lost.
    bool isStoreLost_ = false;
    /// Since when this node has had no source that is known to read the store; nothing while it has one.
    std::optional<TimePoint> searchingSince_;
    /// Whether the source that this node follows, or followed last, is late with an answer, and no other source has
    /// answered since.
    bool isSourceOverdue_ = false;
    /// Whether a node is being asked for the newer routes that it has.
    bool isTakingNewerRoutes_ = false;
    /// The pause between queries; cancelled when the store is overdue, so that other nodes are queried at once.
    boost::asio::steady_timer queryPause_;
    /// Wakes the requests that wait for an update. Never expires; cancelled when the routes, the list or the store's
    /// state change.
    boost::asio::steady_timer changeSignal_;
};

}

#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "instances/catalogplan.h"
#include "rpc/peerclient.h"
#include "sidecar/catalogcontents.h"
#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/decisionsettings.h"
#include "sidecar/seedinquiry.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Does what CatalogPlan decides: asks other nodes and the platform for routes and upstreams, and answers others.
///
/// Guards against a source that has fallen silent without an error, so that its node would stay on old routes for as
/// long as the connection stands: each answer of another node tells what that node has, and one that has more is asked.
/// Thread safety: none. Precondition: references outlive the controller.
class CatalogController final : public CatalogSink
{
public:
    /// @p changed is called after each change of routes or list.
    CatalogController(boost::asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                      PeerClient &peers, const DecisionSettings &decisions, std::function<void()> changed);

    void start();
    /// What this node has and the asker lacks; see PeerService::catalog().
    [[nodiscard]] boost::asio::awaitable<Catalog> answer(CatalogRequest request);
    /// What this node has.
    [[nodiscard]] CatalogVersions versions() const { return contents_.versions(); }
    /// For operators: the node that is followed, "platform", or "lost".
    [[nodiscard]] std::string sourceName() const;
    [[nodiscard]] bool readsStore() const { return reading_ != StoreReading::None; }
    [[nodiscard]] StoreState storeState() const;
    /// @p peer has said in an answer what it has.
    void recordVersions(const Endpoint &peer, const CatalogVersions &versions);
    /// Calls @p listener with what each answer of another node says that it refuses.
    void onQuarantineDigest(std::function<void(const Endpoint &, QuarantineDigest)> listener)
    {
        quarantineListener_ = std::move(listener);
    }
    /// A caller was turned away since no routes are in force.
    void noteCallerWaits() { seeds_.noteCallerWaits(); }

    void routesRead(PublishedRoutes routes) override;
    void listRead(const InstanceSnapshot &snapshot) override;
    void changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) override;
    void sourceLost(std::string_view why) override;
    void sourceBack() override;
    void entryRefused(std::string_view key, std::string_view why) override { log_.entryRefused(key, why); }
    void storeCalled(std::string_view call, std::string_view outcome) override { log_.storeCalled(call, outcome); }

private:
    /// Another node that has more than this one, and since when it is known to.
    struct Ahead
    {
        Endpoint peer;
        CatalogVersions versions;
        TimePoint since;
    };

    boost::asio::awaitable<void> watchOver();
    /// Takes routes and list from a node that has them; reads the platform when there is none.
    boost::asio::awaitable<void> begin();
    [[nodiscard]] SeedInquirer seedInquirer();
    void followIfComplete(const Endpoint &peer, const Catalog &catalog);
    boost::asio::awaitable<void> followOthers();
    /// Returns whether to go on at once.
    boost::asio::awaitable<bool> askOnce(SourceQuery query);
    /// Before changes are taken that remove upstreams which did not say that they leave.
    boost::asio::awaitable<void> checkOwnWay(const Catalog &catalog);
    /// Now and then, while others say that the store is away.
    boost::asio::awaitable<void> look();
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> catchUp();
    /// The ages in the answer are those of its arrival.
    [[nodiscard]] boost::asio::awaitable<Result<Catalog>> ask(Endpoint peer, CatalogRequest request,
                                                              Milliseconds limit);
    [[nodiscard]] std::vector<Endpoint> peersToAsk();
    [[nodiscard]] CatalogRequest request(Milliseconds wait, StoreState known) const;
    void takeAnswer(const Endpoint &peer, const Catalog &catalog);
    [[nodiscard]] bool take(const Endpoint &peer, const Catalog &catalog);
    /// Begins or ends to read the platform as the plan says.
    void applyReading();
    /// Tells the directory whether removals that are told now may be lapses.
    void applyStoreState();
    /// @p catalog comes from a node that has read the store in order, or follows one.
    void noteStoreRead(const Catalog &catalog);
    void logFollowing(const std::optional<Endpoint> &before, std::string_view why);
    [[nodiscard]] bool needsPeers() const;
    void listChanged();
    void contentsChanged();
    void wakeAskers() { news_.cancel(); }

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    CatalogSource &source_;
    PeerClient &peers_;
    CatalogTimes times_;
    CatalogLog log_;
    std::function<void()> changed_;
    std::function<void(const Endpoint &, QuarantineDigest)> quarantineListener_;
    CatalogContents contents_;
    CatalogPlan plan_;
    SeedInquiry seeds_;
    TimePoint started_;
    StoreReading reading_ = StoreReading::None;
    /// Seeds were asked; from now on the plan says what is read.
    bool begun_ = false;
    /// Only this node's way to the platform is cut: what lapses is likely to be cut off as well.
    bool isCutOff_ = false;
    /// As the directory was told.
    bool storeIsLost_ = false;
    std::optional<Ahead> ahead_;
    /// Never expires; cancelled when routes, list or the store's state change.
    boost::asio::steady_timer news_;
};

}

#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "instances/readerelection.h"
#include "rpc/peerclient.h"
#include "sidecar/cataloglog.h"
#include "sidecar/catalogsource.h"
#include "sidecar/decisionsettings.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Puts routes and upstreams in force, from the platform or from other nodes.
///
/// A few nodes read the platform's store, the others follow one of them; see ReaderElection. Routes never go back: only
/// a larger version replaces those in force, wherever it comes from.
/// Guards against a source that has fallen silent without an error, so that its node would stay on old routes for as
/// long as the connection stands: each answer of another node tells what that node has, and one that has more is asked.
/// Thread safety: none. Precondition: references outlive the controller.
class CatalogController final : public CatalogSink
{
public:
    /// @p changed is called after each change.
    CatalogController(boost::asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                      PeerClient &peers, const DecisionSettings &decisions, std::function<void()> changed);

    void start();
    /// What this node has and the asker lacks; see PeerService::catalog().
    [[nodiscard]] boost::asio::awaitable<Catalog> answer(CatalogRequest request);
    /// What this node has.
    [[nodiscard]] CatalogMark mark() const;
    /// For operators: the node that is followed, "platform", or "lost".
    [[nodiscard]] std::string sourceName() const;
    /// @p peer has said in an answer what it has.
    void noteMark(const Endpoint &peer, const CatalogMark &mark);
    /// A caller was turned away since no routes are in force.
    void noteCallerWaits() { callersWait_ = true; }

    void routesRead(PublishedRoutes routes) override;
    void listRead(const InstanceSnapshot &snapshot) override;
    void changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) override;
    void sourceLost(std::string_view why) override;
    void sourceBack() override;
    void entryRefused(std::string_view key, std::string_view why) override;

private:
    /// Another node that has more than this one, and since when it is known to.
    struct Ahead
    {
        Endpoint peer;
        CatalogMark mark;
        TimePoint since;
    };

    boost::asio::awaitable<void> watchOver();
    /// Takes routes and list from a node that has them; reads the platform when there is none.
    boost::asio::awaitable<void> begin();
    /// Follows the node at @p seed if it has all and nothing else was quicker.
    boost::asio::awaitable<void> beginAt(Endpoint seed);
    boost::asio::awaitable<void> followOthers();
    /// Asks @p reader for news once. Returns whether to ask again at once.
    boost::asio::awaitable<bool> followOnce(Endpoint reader);
    /// Before changes are taken that remove upstreams which did not say that they leave.
    boost::asio::awaitable<void> checkOwnWay(const Catalog &catalog);
    boost::asio::awaitable<void> askPeers();
    boost::asio::awaitable<void> catchUp();
    /// The ages in the answer are those of its arrival.
    [[nodiscard]] boost::asio::awaitable<Result<Catalog>> ask(Endpoint peer, Milliseconds wait, Milliseconds limit);
    [[nodiscard]] std::vector<Endpoint> peersToAsk();
    /// Returns whether anything was new.
    bool take(const Endpoint &peer, const Catalog &catalog);
    void takeRoutes(const Endpoint &peer, const Catalog &catalog);
    void putInForce(RouteTablePointer table, PackedRoutes packed, const NewsOrigin &origin);
    bool takeList(const Endpoint &peer, const Catalog &catalog);
    bool applyChanges(const std::vector<InstanceChange> &changes, StoreRevision reached, const NewsOrigin &origin);
    void beginFollowing(const Endpoint &reader, std::uint8_t hops);
    void endFollowing(std::string_view why);
    [[nodiscard]] bool removesSilently(const Catalog &catalog) const;
    [[nodiscard]] bool readsForOthers() const;
    [[nodiscard]] bool needsPeers() const;
    [[nodiscard]] bool isBehind(const CatalogMark &mark) const;
    [[nodiscard]] bool isInOrder() const;
    [[nodiscard]] Endpoint ownNode() const;
    [[nodiscard]] static bool isUsable(const Result<Catalog> &catalog);
    void listChanged();
    void wakeAskers() { news_.cancel(); }
    void noteListRead(const NewsOrigin &origin);

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    CatalogSource &source_;
    PeerClient &peers_;
    CatalogSettings settings_;
    CatalogLog log_;
    std::function<void()> changed_;
    TimePoint started_;
    ReaderElection election_;
    /// Whom this node follows; nothing while it reads for itself.
    std::optional<Endpoint> following_;
    /// When the node followed was last heard in order.
    TimePoint heardAt_;
    std::uint8_t hops_ = 0;
    /// When a node read the routes in force, and the newest change of the list, from the store.
    TimePoint routesReadAt_;
    TimePoint listReadAt_;
    /// Nodes that the settings name and that have not answered yet, while this node starts.
    std::size_t seedsAsked_ = 0;
    bool callersWait_ = false;
    /// When the platform was lost; nothing while it can be read.
    std::optional<TimePoint> lostSince_;
    std::optional<Ahead> ahead_;
    /// Never expires; cancelled when routes, list or their order change.
    boost::asio::steady_timer news_;
};

}

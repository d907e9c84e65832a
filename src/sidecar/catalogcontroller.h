#pragma once

#include <functional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "rpc/peerclient.h"
#include "sidecar/catalogsource.h"
#include "sidecar/sidecarstate.h"

namespace Egretpath
{

/// Puts routes and upstreams in force, from the platform or, while that can't be read, from other nodes.
///
/// Routes never go back: only a larger version replaces those in force, wherever it comes from. Thread safety: none.
/// Precondition: references outlive the controller.
class CatalogController final : public CatalogSink
{
public:
    /// @p changed is called after each change.
    CatalogController(boost::asio::any_io_executor executor, SidecarState &state, CatalogSource &source,
                      PeerClient &peers, std::function<void()> changed);

    void start();
    /// What this node has and the asker lacks.
    [[nodiscard]] Catalog answer(const CatalogRequest &request) const;

    void routesRead(PublishedRoutes routes) override;
    void listRead(const InstanceSnapshot &snapshot) override;
    void changesRead(const std::vector<InstanceChange> &changes, StoreRevision reached) override;
    void sourceLost(std::string_view why) override;
    void sourceBack() override;
    void entryRefused(std::string_view key, std::string_view why) override;

private:
    boost::asio::awaitable<void> watchOver();
    boost::asio::awaitable<void> askPeers();
    [[nodiscard]] std::vector<Endpoint> peersToAsk();
    void take(const Endpoint &peer, const Catalog &catalog);
    [[nodiscard]] bool needsPeers() const;
    void logList(std::string_view from, std::string_view what) const;

    boost::asio::any_io_executor executor_;
    SidecarState &state_;
    CatalogSource &source_;
    PeerClient &peers_;
    std::function<void()> changed_;
    TimePoint started_;
    /// When the platform was lost; nothing while it can be read.
    std::optional<TimePoint> lostSince_;
};

}

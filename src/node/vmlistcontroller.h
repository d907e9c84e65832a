#pragma once

#include <functional>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "distribution/bytebudget.h"
#include "distribution/vmliststore.h"
#include "node/exchangedriver.h"
#include "node/vmlistreader.h"

namespace Egretpath
{

/// Keeps the platform's list of VMs: reads it when it is this node's turn, exchanges it with other nodes, takes the
/// first one from a seed, and puts it into the blackboard's membership and directory.
///
/// Unlike the table the list needs no start gate: an older one in use for a moment cuts no promise, since calls and
/// notices correct it, and without any the node could not find its peers.
/// Preconditions: references outlive the controller. Thread safety: none.
class VmListController final : private ExchangeSource
{
public:
    /// @p listChanged is called after another list was put into use.
    VmListController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                     PlatformClient &platform, std::function<void()> listChanged);

    /// Does the periodic work until the node ends; spawn it once.
    boost::asio::awaitable<void> run();
    /// The list held as text, for a node that starts; empty if there is none or too many have asked.
    [[nodiscard]] std::string textForStarter();

    [[nodiscard]] ExchangeDriver &driver() { return driver_; }
    [[nodiscard]] const ExchangeDriver &driver() const { return driver_; }

private:
    boost::asio::awaitable<SourceReading> valueRead(std::string value) override;
    void valueAbsent() override { }
    void pullFailed(const UpstreamName & /*peer*/) override { }
    void storeChanged() override;

    void putIntoUse(const TableVersion &version, TimePoint now);
    void askSeedIfNeeded(TimePoint now);
    boost::asio::awaitable<void> askSeed(Endpoint seed);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    std::function<void()> listChanged_;
    VmListStore store_;
    VmListReader reader_;
    ExchangeDriver driver_;
    ByteBudget starterBudget_;
    std::optional<TableVersion> usedVersion_;
    TimePoint usedAt_;
    TimePoint nextSeedAt_;
};

}

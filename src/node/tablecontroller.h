#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "distribution/startgate.h"
#include "node/exchangedriver.h"
#include "node/nodetablestore.h"
#include "table/tablepublication.h"

namespace Egretpath
{

/// Keeps the node's table: reads the platform when it is this node's turn, exchanges tables with other nodes, and puts
/// a table in force once the start gate has opened.
///
/// Preconditions: references outlive the controller. Thread safety: none.
class TableController final : private ExchangeSource
{
public:
    /// @p tableChanged is called after another table was put in force.
    TableController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                    PlatformClient &platform, std::function<void()> tableChanged);

    /// Does the periodic work until the node ends; spawn it once.
    boost::asio::awaitable<void> run();
    /// Another list of VMs was read.
    void directoryChanged();

    [[nodiscard]] StartState startState() const { return startState_; }
    [[nodiscard]] ExchangeDriver &driver() { return driver_; }
    [[nodiscard]] const ExchangeDriver &driver() const { return driver_; }
    [[nodiscard]] std::optional<TableVersion> heldVersion() const { return store_.currentVersion(); }
    /// What refused the table that the platform serves, or empty.
    [[nodiscard]] const std::string &refusedTable() const { return refusedTable_; }

private:
    boost::asio::awaitable<SourceReading> valueRead(std::string value) override;
    void valueAbsent() override;
    void pullFailed(const UpstreamName &peer) override;
    void storeChanged() override;

    void stepGate(TimePoint now);
    void putInForce();
    boost::asio::awaitable<void> askForSummary(VmRecord peer);
    boost::asio::awaitable<SourceReading> loadIfNewer(TableHead head);
    void refuse(std::string why);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    PlatformClient &platform_;
    std::function<void()> tableChanged_;
    NodeTableStore store_;
    ExchangeDriver driver_;
    StartGate gate_;
    StartState startState_ = StartState::Asking;
    bool gateReadDone_ = false;
    TimePoint nextGateReadAt_;
    std::optional<TimePoint> fetchAskedAt_;
    std::string refusedTable_;
};

}

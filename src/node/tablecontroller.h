#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "distribution/readerelection.h"
#include "distribution/startgate.h"
#include "distribution/tableexchange.h"
#include "node/blackboard.h"
#include "node/nodetablestore.h"
#include "platform/platformclient.h"
#include "rpc/peerclient.h"
#include "table/tablepublication.h"

namespace Egretpath
{

/// Keeps the node's table: reads the platform when it is this node's turn, exchanges tables with other nodes, and puts
/// a table in force once the start gate has opened.
///
/// Preconditions: references outlive the controller. Thread safety: none.
class TableController
{
public:
    /// @p tableChanged is called after another table was put in force.
    TableController(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                    PlatformClient &platform, std::function<void()> tableChanged);

    /// Does the periodic work until the node ends; spawn it once.
    boost::asio::awaitable<void> run();
    /// Another list of VMs was read.
    void directoryChanged();

    [[nodiscard]] TableSummary pushReceived(const UpstreamName &sender, const PushChange &push);
    [[nodiscard]] PullAnswer pullReceived(const UpstreamName &sender, const PullRequest &pull);

    [[nodiscard]] StartState startState() const { return startState_; }
    [[nodiscard]] const TableExchange &exchange() const { return exchange_; }
    [[nodiscard]] std::optional<TableVersion> heldVersion() const { return store_.currentVersion(); }
    /// What refused the table that the platform serves, or empty.
    [[nodiscard]] const std::string &refusedTable() const { return refusedTable_; }

private:
    void step();
    void stepGate(TimePoint now);
    void stepReads(TimePoint now);
    void afterChange();
    void putInForce();

    boost::asio::awaitable<void> askForSummary(VmRecord peer);
    boost::asio::awaitable<void> push(OutgoingPush push);
    boost::asio::awaitable<void> pull(OutgoingPull pull);
    boost::asio::awaitable<void> pollHead();
    boost::asio::awaitable<void> watchHead();
    boost::asio::awaitable<void> takeHead(const PlatformResult<PlatformValue> &value);
    boost::asio::awaitable<void> headRead(std::string text);
    boost::asio::awaitable<bool> load(TableHead head);
    void readFailed(const PlatformFailure &failure);
    [[nodiscard]] PlatformKey headKey() const;
    void send(ExchangeRequests requests);
    void refuse(std::string why);
    [[nodiscard]] VmRecord recordOf(const UpstreamName &sender) const;

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    PlatformClient &platform_;
    std::function<void()> tableChanged_;
    NodeTableStore store_;
    TableExchange exchange_;
    StartGate gate_;
    ReaderElection election_;
    StartState startState_ = StartState::Asking;
    bool polling_ = false;
    bool watching_ = false;
    bool gateReadDone_ = false;
    std::uint64_t headIndex_ = 0;
    std::optional<TimePoint> fetchAskedAt_;
    std::string refusedTable_;
};

}

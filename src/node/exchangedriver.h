#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "distribution/readerelection.h"
#include "distribution/tableexchange.h"
#include "node/blackboard.h"
#include "node/exchangesource.h"
#include "platform/platformclient.h"
#include "rpc/peerclient.h"

namespace Egretpath
{

/// What one ExchangeDriver is for.
struct ExchangeDriverSettings
{
    ExchangeSubject subject = ExchangeSubject::Table;
    /// The platform's key that the readers watch.
    PlatformKey key;
    ExchangeSettings exchange;
    ReaderSettings readers;
};

/// Carries out what a TableExchange and a ReaderElection decide about one subject: sends pushes and pulls, and reads or
/// watches the platform when it is this node's turn.
///
/// Preconditions: references outlive the driver. Thread safety: none. Errors: counted and logged.
class ExchangeDriver
{
public:
    ExchangeDriver(boost::asio::any_io_executor executor, Blackboard &board, PeerClient &peers,
                   PlatformClient &platform, TableStore &store, ExchangeSource &source,
                   ExchangeDriverSettings settings);

    /// Periodic work; to be called about each 50 ms.
    void step(TimePoint now);
    /// Another list of VMs is in use.
    void directoryChanged();
    /// Reads the platform, whoever's turn it is, unless a read is on its way.
    void poll();
    /// Sends what exchange() returned.
    void send(ExchangeRequests requests);

    [[nodiscard]] TableSummary pushReceived(const UpstreamName &sender, const PushChange &push);
    [[nodiscard]] PullAnswer pullReceived(const UpstreamName &sender, const PullRequest &pull);

    [[nodiscard]] TableExchange &exchange() { return exchange_; }
    [[nodiscard]] const TableExchange &exchange() const { return exchange_; }
    /// The listed record of @p upstream, or one without an address if it is not listed.
    [[nodiscard]] VmRecord recordOf(const UpstreamName &upstream) const;
    /// Bytes sent and asked for on behalf of the subject since the start, as the budgets count them.
    [[nodiscard]] std::uint64_t bytes() const;

private:
    void stepReads(TimePoint now);
    boost::asio::awaitable<void> push(OutgoingPush push);
    boost::asio::awaitable<void> pull(OutgoingPull pull);
    boost::asio::awaitable<void> readValue();
    boost::asio::awaitable<void> watchValue();
    boost::asio::awaitable<void> takeValue(const PlatformResult<PlatformValue> &value);
    boost::asio::awaitable<void> takeText(std::string text);
    void readFailed(const PlatformFailure &failure);

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    PeerClient &peers_;
    PlatformClient &platform_;
    TableStore &store_;
    ExchangeSource &source_;
    ExchangeSubject subject_;
    PlatformKey key_;
    TableExchange exchange_;
    ReaderElection election_;
    bool polling_ = false;
    bool watching_ = false;
    std::uint64_t valueIndex_ = 0;
};

}

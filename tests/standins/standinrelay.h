#pragma once

#include <memory>
#include <optional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"
#include "http/httpexchange.h"
#include "standins/relaydirection.h"

namespace Egretpath
{

/// Forwards TCP connections to another address, and delays, slows down, holds back or cuts them on demand. See
/// docs/SOAK.md. Thread safety: none.
class StandinRelay
{
public:
    StandinRelay(boost::asio::any_io_executor executor, boost::asio::ip::tcp::endpoint target);

    /// Listens at @p endpoint and returns the bound address. Throws boost::system::system_error on failure.
    [[nodiscard]] Endpoint listen(const boost::asio::ip::tcp::endpoint &endpoint);

    /// Sets the conditions from now on for all connections except those that silenceOpenConnections() has silenced.
    void setConditions(const RelayConditions &conditions);
    /// Resets all connections. If @p refusing is true, also resets each new connection until the next call.
    void reset(bool refusing);
    /// Stops forwarding on the open connections without closing them. New connections work.
    void silenceOpenConnections();

    /// Handles a request to the control endpoint.
    [[nodiscard]] boost::asio::awaitable<void> control(HttpExchange &exchange);

private:
    using Socket = RelayDirection::Socket;

    struct Connection
    {
        std::weak_ptr<boost::asio::ip::tcp::socket> client;
        std::weak_ptr<boost::asio::ip::tcp::socket> server;
        std::weak_ptr<RelayDirection> request;
        std::weak_ptr<RelayDirection> response;
    };

    [[nodiscard]] boost::asio::awaitable<void> acceptLoop();
    [[nodiscard]] boost::asio::awaitable<void> relay(Socket client);
    void wakeAll();
    void resetAll();

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::endpoint target_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<RelayConditions> conditions_;
    bool isRefusing_ = false;
    std::vector<Connection> connections_;
};

}

#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <unordered_map>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpconnectionpool.h"

namespace Egretpath
{

class HttpClientConnection;

/// The connections of an HttpConnectionPool, idle and in use. Thread safety: none.
class HttpConnectionPoolState : public std::enable_shared_from_this<HttpConnectionPoolState>
{
public:
    HttpConnectionPoolState(boost::asio::any_io_executor executor, HttpPoolLimits limits);

    [[nodiscard]] boost::asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
    open(Endpoint endpoint, TimePoint deadline, HttpConnectionChoice choice);
    /// Adds a connection whose call has finished to the idle connections.
    void release(std::shared_ptr<HttpClientConnection> connection);
    /// Called by the destructor of each connection.
    void removeConnection(const Endpoint &endpoint);
    void closeIdle();
    void setMaxConnections(std::size_t maxConnections);

    [[nodiscard]] std::size_t connectionCount() const { return connections_; }
    [[nodiscard]] std::size_t connectionCount(const Endpoint &endpoint) const;
    [[nodiscard]] std::size_t idleCount() const { return idle_.size(); }

    HttpPoolCounts counts_;

private:
    [[nodiscard]] std::shared_ptr<HttpClientConnection> takeIdle(const Endpoint &endpoint);
    [[nodiscard]] bool ensureCapacity(const Endpoint &endpoint);
    void closeOldestIdle(const Endpoint *endpoint);
    void closeExpiredIdle(const HttpClientConnection *connection);

    boost::asio::any_io_executor executor_;
    HttpPoolLimits limits_;
    std::size_t connections_ = 0;
    std::unordered_map<Endpoint, std::size_t> connectionsByEndpoint_;
    /// Ordered by the start of the idle time, the longest idle connection first.
    std::deque<std::shared_ptr<HttpClientConnection>> idle_;
};

}

#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httpclientcall.h"

namespace Egretpath
{

struct HttpPoolLimits
{
    /// Open connections to one endpoint, idle ones included.
    std::size_t connectionsPerEndpoint = 64;
    /// Open connections in all. An idle connection to another endpoint is closed to make room.
    std::size_t connections = 220;
    /// An idle connection is closed after this time. Keep it under the server's idle time.
    Duration idleTime = std::chrono::seconds(30);
    std::uint32_t headerBytes = 32 * 1024;
    std::size_t readBufferBytes = std::size_t{64} * 1024;
};

/// Whether a call may go over a connection that served earlier ones.
enum class HttpConnectionChoice : std::uint8_t {
    /// An idle connection that is still open, else a new one.
    Pooled,
    /// Always a new one: its first write can't meet a server that just closed an idle connection.
    Fresh,
};

/// Counts since the start.
struct HttpPoolCounts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /// Idle connections that the server had closed, found out before a byte was sent on them.
    std::uint64_t foundClosed = 0;
    /// Calls refused because of the connection limits.
    std::uint64_t refused = 0;
};

class HttpConnectionPoolState;

/// HTTP/1.1 connections to many servers, kept open between calls.
///
/// Thread safety: none; use it on the thread of its executor. Calls may outlive the pool; their connections are
/// closed instead of given back.
class HttpConnectionPool
{
public:
    HttpConnectionPool(boost::asio::any_io_executor executor, HttpPoolLimits limits);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// A connection to @p endpoint for one call, whose operations all end by @p deadline.
    /// Errors, all NotRun: ConnectFailed, DeadlinePassed, BudgetSpent (a connection limit is reached).
    [[nodiscard]] boost::asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
    open(Endpoint endpoint, TimePoint deadline, HttpConnectionChoice choice = HttpConnectionChoice::Pooled);

    /// Changes both limits of connections. Connections above a lower one stay until their calls end.
    void setConnectionCap(std::size_t cap);

    /// Closes all idle connections.
    void closeIdle();

    /// Open connections, idle ones included.
    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] std::size_t connectionCount(const Endpoint &endpoint) const;
    [[nodiscard]] std::size_t idleCount() const;
    [[nodiscard]] const HttpPoolCounts &counts() const;

private:
    std::shared_ptr<HttpConnectionPoolState> state_;
};

}

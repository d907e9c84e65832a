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
#include "http/silentpeer.h"

namespace Egretpath
{

struct HttpPoolLimits
{
    /// Open connections to one endpoint, idle ones included.
    std::size_t connectionsPerEndpoint = 64;
    /// Open connections to all endpoints. At the limit, an idle connection to any endpoint is closed for a new one.
    std::size_t connections = 220;
    /// An idle connection is closed after this time. It should be shorter than the server's idle time.
    Duration idleTime = std::chrono::seconds(30);
    std::uint32_t headerBytes = 32 * 1024;
    std::size_t readBufferBytes = std::size_t{64} * 1024;
    SilentPeer silentPeer = SilentPeer::IsReset;
    /// The bytes that the system keeps unread for each connection; 0: as many as it likes.
    std::size_t unreadBytes = 0;
};

/// Whether a call may use a connection that served earlier calls.
enum class HttpConnectionChoice : std::uint8_t {
    /// An idle connection that is still open if there is one, otherwise a new connection.
    Pooled,
    /// Always a new connection. Its first write can't fail because the server just closed an idle connection.
    Fresh,
};

/// Counters since the pool was created.
struct HttpPoolCounts
{
    std::uint64_t opened = 0;
    std::uint64_t reused = 0;
    /// Idle connections that the server had closed or had sent unexpected bytes on. This was detected before a byte was
    /// sent on them.
    std::uint64_t closedByServer = 0;
    /// Calls refused because of the connection limits.
    std::uint64_t refused = 0;
};

class HttpConnectionPoolState;

/// A pool of HTTP/1.1 connections to many servers, kept open between calls.
///
/// Thread safety: none; use it on the thread of its executor. Calls may outlive the pool; their connections are then
/// closed instead of returned to the pool.
class HttpConnectionPool
{
public:
    HttpConnectionPool(boost::asio::any_io_executor executor, HttpPoolLimits limits);
    ~HttpConnectionPool();
    HttpConnectionPool(const HttpConnectionPool &) = delete;
    HttpConnectionPool &operator=(const HttpConnectionPool &) = delete;

    /// Opens a connection to @p endpoint for one call. All operations of the call finish by @p deadline.
    /// Errors, all NotRun: ConnectFailed, DeadlinePassed, BudgetSpent (a connection limit is reached).
    [[nodiscard]] boost::asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
    open(Endpoint endpoint, TimePoint deadline, HttpConnectionChoice choice = HttpConnectionChoice::Pooled);

    /// Sets both connection limits to @p maxConnections. Connections beyond a lowered limit stay open until their calls
    /// finish.
    void setMaxConnections(std::size_t maxConnections);

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

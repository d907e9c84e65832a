#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httpexchange.h"
#include "http/httpheaders.h"

namespace Egretpath
{

/// Limits of an HttpServer. Requests over a limit are answered with a 4xx or 503. They don't reach the handler, except
/// that a chunked body may exceed bodyBytes after the handler has started.
struct HttpLimits
{
    /// Size of start line and header fields together.
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{16} * 1024 * 1024;
    std::size_t connections = 1000;
    /// The maximum of unparsed bytes that a connection buffers, and the maximum size of a piece from readBody().
    std::size_t readBufferBytes = std::size_t{64} * 1024;
    /// The bytes that may wait unread in the system for a connection, until HttpExchange::limitUnreadBytes(); zero:
    /// what the system allows.
    std::size_t unreadBytes = 0;
    /// How long a connection may stay open without a request, and how long one read or write of an exchange may wait
    /// without a byte being transferred.
    Duration idleTime = std::chrono::seconds(60);
    /// The maximum time from the first byte of a request head to its last byte.
    Duration headerReadTime = std::chrono::seconds(10);
    /// How long an idle connection stays open after stopAccepting(), for a request that was already on its way.
    Duration closeGrace = Milliseconds(200);
    /// Header fields added to the server's own answers to requests that don't reach the handler.
    HttpHeaders refusalHeaders;
    /// Whether the limits on sizes are not known yet. A request over one of them is then answered with 503, since the
    /// limit that comes may allow it.
    bool areSizesProvisional = false;
};

/// Counters since the server was created.
struct HttpServerCounts
{
    std::uint64_t acceptedConnections = 0;
    /// Connections answered with 503 because of HttpLimits::connections.
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0;
    /// Malformed or too large requests that were refused before they reached the handler.
    std::uint64_t refusedRequests = 0;
    /// Handlers that exited with an exception.
    std::uint64_t failedHandlers = 0;
};

class HttpServerState;

/// An HTTP/1.1 server on one executor.
///
/// Thread safety: none; use it on the thread of its executor. The destructor closes all connections: it resets those
/// with an answer under way, and leaves it to the system to send the rest of answers that are complete. The next
/// operation of a handler that is still running fails with Cancelled.
class HttpServer
{
public:
    /// Runs once for each request, as a coroutine on the server's executor. Requests of one connection may run
    /// concurrently; see HttpExchange::waitForTurn().
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to accept connections at @p endpoint and returns the endpoint with its actual port: port 0 selects a free
    /// port. May be called for several endpoints. Errors: ConnectFailed (the address is malformed or can't be bound).
    [[nodiscard]] Result<Endpoint> listen(const Endpoint &endpoint);

    /// Changes the limits for connections that are accepted from now on and for requests that begin from now on, on any
    /// connection.
    void setLimits(const HttpLimits &limits);
    /// Closes each connection after its next response, so that callers move to other servers. New connections are still
    /// accepted.
    void disableKeepAlive();
    /// Starts the graceful shutdown: accepts no more connections, except those already in the backlog, lets exchanges
    /// in flight finish with "Connection: close", and closes idle connections after HttpLimits::closeGrace.
    void stopAccepting();
    /// Resumes when no connection is left. Precondition: stopAccepting() was called. Several coroutines may await it.
    [[nodiscard]] boost::asio::awaitable<void> waitUntilDrained();
    /// Stops accepting and resets all remaining connections. Used when the time to drain has passed.
    void closeAll();

    [[nodiscard]] std::size_t connectionCount() const;
    /// The bytes of answers that callers have not acknowledged; zero if the system does not tell.
    [[nodiscard]] std::size_t unacknowledgedBytes() const;
    [[nodiscard]] const HttpServerCounts &counts() const;

private:
    std::shared_ptr<HttpServerState> state_;
};

}

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

/// What the listener accepts. Requests beyond it are answered with a 4xx or 503 and never reach the handler.
struct HttpLimits
{
    /// Start line and header fields together.
    std::uint32_t headerBytes = 16 * 1024;
    std::uint64_t bodyBytes = std::uint64_t{16} * 1024 * 1024;
    std::size_t connections = 1000;
    /// The most bytes that a connection holds unread; the size of the largest piece from readBody().
    std::size_t readBufferBytes = std::size_t{64} * 1024;
    /// How long a connection may stand without a request, and an exchange without a byte either way.
    Duration idleTime = std::chrono::seconds(60);
    /// From the first byte of a head to its last.
    Duration headerReadTime = std::chrono::seconds(10);
    /// After stopAccepting(), how long an idle connection may still bring a request that was already on its way.
    Duration closeGrace = Milliseconds(200);
    /// Added to the answers that the server itself gives to requests that never reach the handler.
    HttpHeaders refusalHeaders;
};

/// Counts since the start.
struct HttpServerCounts
{
    std::uint64_t acceptedConnections = 0;
    /// Connections answered with 503 because of HttpLimits::connections.
    std::uint64_t refusedConnections = 0;
    std::uint64_t requests = 0;
    /// Malformed or too large requests; none reached the handler.
    std::uint64_t refusedRequests = 0;
    /// Handlers that ended with an exception.
    std::uint64_t failedHandlers = 0;
};

class HttpServerState;

/// An HTTP/1.1 server on one executor.
///
/// Thread safety: none; use it on the thread of its executor. The destructor drops all connections; a handler that
/// still runs sees Cancelled from its next operation.
class HttpServer
{
public:
    /// Runs once for each request, as a coroutine on the server's executor. Requests of one connection may run beside
    /// each other; see HttpExchange::waitForTurn().
    using Handler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

    HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts to accept at @p endpoint and returns where it listens: port 0 picks a free one. It may be called for
    /// several endpoints. Errors: ConnectFailed (the address is malformed or can't be bound).
    [[nodiscard]] Result<Endpoint> listen(const Endpoint &endpoint);

    /// Changes the limits of later requests and connections; the count of connections and the buffers stay.
    void setLimits(const HttpLimits &limits);
    /// Ends each connection after its next response, and goes on to accept: callers move to other servers.
    void leaveCallers();
    /// Begins the graceful shutdown: accepts no more connections (those that wait in the backlog are still served),
    /// lets exchanges in flight finish with "Connection: close", and closes idle connections after the grace time.
    void stopAccepting();
    /// Resumes when no connection is left. Precondition: stopAccepting() was called. May be awaited by many.
    [[nodiscard]] boost::asio::awaitable<void> drained();
    /// Drops what is left, for when the time to drain is over.
    void closeAll();

    [[nodiscard]] std::size_t connectionCount() const;
    [[nodiscard]] const HttpServerCounts &counts() const;

private:
    std::shared_ptr<HttpServerState> state_;
};

}

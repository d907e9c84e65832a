#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/strongtype.h"
#include "http/httpexchange.h"
#include "http/httphead.h"
#include "http/messageparser.h"
#include "http/readbuffer.h"
#include "http/sockettimer.h"

namespace Egretpath
{

class HttpServerExchange;
class HttpServerState;

/// One accepted connection: reads requests, runs the handler for each, and sends the responses in the order of the
/// requests.
///
/// Pipelined requests run concurrently, so that a slow request does not delay the requests after it. The connection
/// keeps reading while handlers run, which is also how it detects that the caller disconnected. Thread safety: none.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(boost::asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<HttpServerState> server);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    /// Serves requests until the connection is closed.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Answers 503 and closes the connection.
    [[nodiscard]] boost::asio::awaitable<void> refuse();
    /// Starts the graceful shutdown: the connection closes after the responses in progress, or, if it is idle, after
    /// HttpLimits::closeGrace.
    void startDraining();
    /// Waits for the next request by the new limits of the server.
    void onLimitsChanged();
    /// Resets the connection at once.
    void drop();
    /// Closes the connection at once. Answers that are complete still reach the caller; one that has begun is reset.
    void end();

    // Used by the exchanges of this connection.
    [[nodiscard]] const boost::asio::any_io_executor &executor() const;
    [[nodiscard]] const Endpoint &remoteEndpoint() const { return remote_; }
    [[nodiscard]] ReadBuffer &buffer() { return buffer_; }
    [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
    [[nodiscard]] bool hasTimedOut() const { return hasTimedOut_; }
    [[nodiscard]] bool isFirst(const HttpServerExchange &exchange) const;
    /// Whether the connection closes after the response to @p exchange.
    [[nodiscard]] bool closesAfter(const HttpServerExchange &exchange) const;
    /// Serves no request that is read from now on: an answer that closes the connection is about to be written.
    void takeNoMoreRequests() { takesRequests_ = false; }
    /// Reads once into buffer(); times out after HttpLimits::idleTime, or at @p deadline.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> readBodyBytes(TimePoint deadline);
    /// Ends a read that waits.
    void endRead();
    /// See HttpExchange::limitUnreadBytes().
    void limitUnreadBytes(Bytes size);
    /// Writes all of @p data; times out after HttpLimits::idleTime. Adds the number of written bytes to @p written.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> write(std::string data, std::size_t &written);
    void recordCallerDisconnected();
    /// The bytes that the peer of the connection has not acknowledged; zero if the system does not tell.
    [[nodiscard]] std::size_t unacknowledgedBytes();

private:
    [[nodiscard]] boost::asio::awaitable<bool> readHead(HttpServerExchange &exchange);
    void adoptLimits(HttpServerExchange &exchange);
    [[nodiscard]] boost::asio::awaitable<void> serve(std::shared_ptr<HttpServerExchange> exchange);
    [[nodiscard]] boost::asio::awaitable<void> waitForPipelineSpace();
    [[nodiscard]] boost::asio::awaitable<void> waitUntilAllAnswered();
    [[nodiscard]] boost::asio::awaitable<void> refuseRequest(std::uint16_t status);
    [[nodiscard]] boost::asio::awaitable<void> sendRefusal(std::uint16_t status, std::string detail);
    [[nodiscard]] boost::asio::awaitable<void> closeGracefully();
    [[nodiscard]] boost::asio::awaitable<bool> discardInput();
    void complete(const HttpServerExchange &exchange);
    void stopReading(ConnectionLoss loss);
    void recordLoss(ConnectionLoss loss);
    void startIdleTimer();
    void onReadTimeout();
    void onWriteTimeout();

    boost::asio::ip::tcp::socket socket_;
    Endpoint remote_;
    std::shared_ptr<HttpServerState> server_;
    ReadBuffer buffer_;
    SocketTimer readTimer_;
    boost::asio::cancellation_signal readTimeout_;
    SocketTimer writeTimer_;
    /// Exchanges without a complete response, the earliest first.
    std::deque<std::shared_ptr<HttpServerExchange>> exchanges_;
    /// A timer that never expires; cancelled to wake up its waiters when an exchange was completed.
    boost::asio::steady_timer completionSignal_;
    /// Whether the connection waits for the first byte of a request head.
    bool waitsForRequest_ = true;
    /// Whether the connection reads the rest of a request head.
    bool isReadingHead_ = false;
    bool isReading_ = true;
    bool takesRequests_ = true;
    bool isDraining_ = false;
    bool hasTimedOut_ = false;
    bool callerDisconnected_ = false;
};

}

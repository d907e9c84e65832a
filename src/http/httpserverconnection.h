#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/strongtype.h"
#include "http/httphead.h"
#include "http/messageparser.h"
#include "http/readbuffer.h"
#include "http/sockettimer.h"

namespace Egretpath
{

class HttpServerExchange;
class HttpServerState;

/// One accepted connection: reads requests, runs the handler for each, and keeps the responses in their order.
///
/// Requests that a caller sends before the earlier responses run beside each other, so that one slow request does not
/// hold up those behind it. Reading goes on while handlers run; that is also how a caller that leaves is noticed.
/// Thread safety: none.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(boost::asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<HttpServerState> server);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    /// Serves requests until the connection ends.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Answers 503 and closes.
    [[nodiscard]] boost::asio::awaitable<void> refuse();
    /// The server stops: the responses in progress are the last ones, an idle connection ends after the grace time.
    void beginStop();
    /// Closes at once with a reset.
    void drop();

    // What the exchanges of this connection use.
    [[nodiscard]] const boost::asio::any_io_executor &executor() const;
    [[nodiscard]] const Endpoint &remoteEndpoint() const { return remote_; }
    [[nodiscard]] ReadBuffer &buffer() { return buffer_; }
    [[nodiscard]] bool isOpen() const { return socket_.is_open(); }
    [[nodiscard]] bool timedOut() const { return timedOut_; }
    [[nodiscard]] bool isFirst(const HttpServerExchange &exchange) const;
    /// Whether the response to @p exchange is the last one of a connection that is to end.
    [[nodiscard]] bool closesAfter(const HttpServerExchange &exchange) const;
    /// Reads once into buffer(), bounded by the idle time.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> readBodyBytes();
    /// Writes all of @p data, bounded by the idle time; adds what left to @p written.
    [[nodiscard]] boost::asio::awaitable<boost::system::error_code> write(std::string data, std::size_t &written);
    void recordCallerDisconnected();

private:
    [[nodiscard]] boost::asio::awaitable<bool> readHead(HttpServerExchange &exchange);
    [[nodiscard]] boost::asio::awaitable<void> serve(std::shared_ptr<HttpServerExchange> exchange);
    [[nodiscard]] boost::asio::awaitable<void> waitForRoom();
    [[nodiscard]] boost::asio::awaitable<void> waitUntilAllAnswered();
    [[nodiscard]] boost::asio::awaitable<void> answerProblem(MessageProblem problem);
    [[nodiscard]] boost::asio::awaitable<void> answerRefusal(std::uint16_t status, std::string detail);
    [[nodiscard]] boost::asio::awaitable<void> closeGently();
    void complete(const HttpServerExchange &exchange);
    void stopReading();
    void armIdleLimit();
    void readTimeExpired();
    void writeTimeExpired();

    boost::asio::ip::tcp::socket socket_;
    Endpoint remote_;
    std::shared_ptr<HttpServerState> server_;
    ReadBuffer buffer_;
    SocketTimer readTimer_;
    SocketTimer writeTimer_;
    /// Requests without a complete response, the earliest first.
    std::deque<std::shared_ptr<HttpServerExchange>> exchanges_;
    /// Never expires; cancelled when an exchange was completed.
    boost::asio::steady_timer completed_;
    /// Waits for the first byte of a head.
    bool idle_ = true;
    /// Reads the rest of a head.
    bool inHead_ = false;
    bool reading_ = true;
    bool stopping_ = false;
    bool timedOut_ = false;
    bool callerDisconnected_ = false;
    bool unreadRequest_ = false;
};

}

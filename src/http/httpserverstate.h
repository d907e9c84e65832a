#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpserver.h"

namespace Egretpath
{

class HttpServerConnection;

/// State shared by an HttpServer and its connections. Thread safety: none.
class HttpServerState : public std::enable_shared_from_this<HttpServerState>
{
public:
    HttpServerState(boost::asio::any_io_executor executor, HttpLimits limits, HttpServer::Handler handler);

    [[nodiscard]] Result<Endpoint> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void setLimits(const HttpLimits &limits);
    void disableKeepAlive() { isKeepAliveDisabled_ = true; }
    [[nodiscard]] bool isKeepAliveDisabled() const { return isKeepAliveDisabled_; }
    void stopAccepting();
    [[nodiscard]] boost::asio::awaitable<void> waitUntilDrained();
    void closeAll();
    /// As closeAll(), but answers that are complete still reach their callers.
    void end();

    /// Called by the destructor of each connection.
    void removeConnection(HttpServerConnection *connection);

    [[nodiscard]] bool isDraining() const { return isDraining_; }
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }
    [[nodiscard]] std::size_t unacknowledgedBytes() const;
    [[nodiscard]] const HttpLimits &limits() const { return limits_; }
    [[nodiscard]] const HttpServer::Handler &handler() const { return handler_; }
    [[nodiscard]] const boost::asio::any_io_executor &executor() const { return executor_; }

    HttpServerCounts counts_;

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    void limitUnreadBytes(Acceptor &acceptor) const;
    [[nodiscard]] boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);
    void acceptBacklog(Acceptor &acceptor);
    void startConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor_;
    HttpLimits limits_;
    HttpServer::Handler handler_;
    std::vector<std::shared_ptr<Acceptor>> acceptors_;
    std::set<HttpServerConnection *> connections_;
    /// A timer that never expires; cancelled to wake up its waiters when the last connection was removed.
    boost::asio::steady_timer allClosedSignal_;
    bool isDraining_ = false;
    bool isKeepAliveDisabled_ = false;
};

}

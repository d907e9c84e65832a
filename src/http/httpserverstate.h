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

/// What a HttpServer and its connections share. Thread safety: none.
class HttpServerState : public std::enable_shared_from_this<HttpServerState>
{
public:
    HttpServerState(boost::asio::any_io_executor executor, HttpLimits limits, HttpServer::Handler handler);

    [[nodiscard]] Result<Endpoint> listen(const boost::asio::ip::tcp::endpoint &endpoint);
    void setLimits(const HttpLimits &limits) { limits_ = limits; }
    void leaveCallers() { leavesCallers_ = true; }
    [[nodiscard]] bool leavesCallers() const { return leavesCallers_; }
    void stopAccepting();
    [[nodiscard]] boost::asio::awaitable<void> drained();
    void closeAll();

    /// Called by a connection when it is closed.
    void removeConnection(HttpServerConnection *connection);

    [[nodiscard]] bool stopping() const { return stopping_; }
    [[nodiscard]] std::size_t connectionCount() const { return connections_.size(); }
    [[nodiscard]] const HttpLimits &limits() const { return limits_; }
    [[nodiscard]] const HttpServer::Handler &handler() const { return handler_; }
    [[nodiscard]] const boost::asio::any_io_executor &executor() const { return executor_; }

    HttpServerCounts counts_;

private:
    using Acceptor = boost::asio::ip::tcp::acceptor;

    [[nodiscard]] boost::asio::awaitable<void> acceptLoop(std::shared_ptr<Acceptor> acceptor);
    void acceptBacklog(Acceptor &acceptor);
    void startConnection(boost::asio::ip::tcp::socket socket);

    boost::asio::any_io_executor executor_;
    HttpLimits limits_;
    HttpServer::Handler handler_;
    std::vector<std::shared_ptr<Acceptor>> acceptors_;
    std::set<HttpServerConnection *> connections_;
    /// Never expires; cancelled when the last connection is gone.
    boost::asio::steady_timer empty_;
    bool stopping_ = false;
    bool leavesCallers_ = false;
};

}

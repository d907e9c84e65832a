#include "http/httpserverstate.h"

#include <numeric>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/httpserverconnection.h"
#include "http/socketio.h"
#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

/// When the process has no free file descriptor, every accept fails at once; the delay prevents a busy loop.
constexpr Milliseconds AcceptRetryDelay{10};

/// Connections over the limit are answered with 503, which keeps them open for a short time. Beyond this multiple of
/// the limit, connections are closed without an answer.
constexpr std::size_t RefusalFactor = 2;

}

HttpServerState::HttpServerState(asio::any_io_executor executor, HttpLimits limits, HttpServer::Handler handler)
    : executor_(std::move(executor))
    , limits_(std::move(limits))
    , handler_(std::move(handler))
    , allClosedSignal_(executor_, asio::steady_timer::time_point::max())
{
}

Result<Endpoint> HttpServerState::listen(const tcp::endpoint &endpoint)
{
    auto acceptor = std::make_shared<Acceptor>(executor_);
    error_code error;
    acceptor->open(endpoint.protocol(), error);
    if (!error) {
        acceptor->set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        limitUnreadBytes(*acceptor);
        acceptor->bind(endpoint, error);
    }
    if (!error) {
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return notRun(Reason::ConnectFailed, "cannot listen: " + error.message());
    }
    acceptor->non_blocking(true);
    acceptors_.push_back(acceptor);
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), acceptor]() -> asio::awaitable<void> { return self->acceptLoop(acceptor); },
        asio::detached);
    return toEndpoint(acceptor->local_endpoint());
}

/// The connections of a listener take its buffers over before the first byte comes.
void HttpServerState::limitUnreadBytes(Acceptor &acceptor) const
{
    if (limits_.unreadBytes > 0) {
        error_code ignored;
        acceptor.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(limits_.unreadBytes)), ignored);
    }
}

asio::awaitable<void> HttpServerState::acceptLoop(std::shared_ptr<Acceptor> acceptor)
{
    asio::steady_timer retryTimer(executor_);
    while (acceptor->is_open()) {
        error_code error;
        tcp::socket socket = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            startConnection(std::move(socket));
        } else if (acceptor->is_open()) {
            retryTimer.expires_after(AcceptRetryDelay);
            co_await retryTimer.async_wait(asio::redirect_error(asio::use_awaitable, error));
        }
    }
}

void HttpServerState::startConnection(tcp::socket socket)
{
    error_code error;
    const tcp::endpoint remote = socket.remote_endpoint(error);
    if (error) {
        return; // The caller disconnected before its connection was accepted.
    }
    if (connections_.size() >= RefusalFactor * limits_.connections) {
        return; // Closed without an answer, see RefusalFactor.
    }
    prepareSocket(socket, SilentPeer::MayPause);
    ++counts_.acceptedConnections;
    auto connection = std::make_shared<HttpServerConnection>(std::move(socket), toEndpoint(remote), shared_from_this());
    const bool isOverLimit = connections_.size() >= limits_.connections;
    counts_.refusedConnections += isOverLimit ? 1 : 0;
    connections_.insert(connection.get());
    asio::co_spawn(
        executor_, [connection, isOverLimit] { return isOverLimit ? connection->refuse() : connection->run(); },
        asio::detached);
}

void HttpServerState::setLimits(const HttpLimits &limits)
{
    const bool hasOtherIdleTime = limits.idleTime != limits_.idleTime;
    limits_ = limits;
    if (hasOtherIdleTime) {
        for (HttpServerConnection *connection : connections_) {
            connection->onLimitsChanged();
        }
    }
}

void HttpServerState::stopAccepting()
{
    if (std::exchange(isDraining_, true)) {
        return;
    }
    for (const std::shared_ptr<Acceptor> &acceptor : acceptors_) {
        acceptBacklog(*acceptor);
        error_code ignored;
        acceptor->close(ignored);
    }
    acceptors_.clear();
    for (HttpServerConnection *connection : connections_) {
        connection->startDraining();
    }
    if (connections_.empty()) {
        allClosedSignal_.cancel();
    }
}

/// Accepts the connections in the listener's backlog. The kernel has already established them, so closing the listener
/// would reset callers whose requests may be on their way.
void HttpServerState::acceptBacklog(Acceptor &acceptor)
{
    for (;;) {
        error_code error;
        tcp::socket socket(executor_);
        acceptor.accept(socket, error);
        if (error) {
            return;
        }
        startConnection(std::move(socket));
    }
}

asio::awaitable<void> HttpServerState::waitUntilDrained()
{
    const auto self = shared_from_this();
    while (!isDraining_ || !connections_.empty()) {
        error_code ignored;
        co_await allClosedSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void HttpServerState::closeAll()
{
    stopAccepting();
    for (HttpServerConnection *connection : connections_) {
        connection->drop();
    }
}

std::size_t HttpServerState::unacknowledgedBytes() const
{
    return std::accumulate(
        connections_.begin(), connections_.end(), std::size_t{0},
        [](std::size_t sum, HttpServerConnection *connection) { return sum + connection->unacknowledgedBytes(); });
}

void HttpServerState::end()
{
    stopAccepting();
    for (HttpServerConnection *connection : connections_) {
        connection->end();
    }
}

void HttpServerState::removeConnection(HttpServerConnection *connection)
{
    connections_.erase(connection);
    if (isDraining_ && connections_.empty()) {
        allClosedSignal_.cancel();
    }
}

}

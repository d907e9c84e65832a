#include "http/httpconnectionpoolstate.h"

#include <algorithm>
#include <utility>

#include "http/httpclientconnection.h"
#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace asio = boost::asio;

HttpConnectionPoolState::HttpConnectionPoolState(asio::any_io_executor executor, HttpPoolLimits limits)
    : executor_(std::move(executor))
    , limits_(limits)
{
}

asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
HttpConnectionPoolState::open(Endpoint endpoint, TimePoint deadline, HttpConnectionChoice choice)
{
    const auto self = shared_from_this();
    const auto address = toTcpEndpoint(endpoint);
    if (!address) {
        co_return notRun(Reason::ConnectFailed, "not an IP address and port: " + endpoint.value());
    }
    if (choice == HttpConnectionChoice::Pooled) {
        if (auto idle = takeIdle(endpoint)) {
            ++counts_.reused;
            idle->startCall(deadline);
            co_return std::make_unique<HttpClientCall>(std::move(idle));
        }
    }
    if (!ensureCapacity(endpoint)) {
        ++counts_.refused;
        co_return notRun(Reason::BudgetSpent, "too many connections to " + endpoint.value());
    }
    ++connections_;
    ++connectionsByEndpoint_[endpoint];
    auto connection = std::make_shared<HttpClientConnection>(endpoint, limits_, weak_from_this(), executor_);
    if (auto connected = co_await connection->connect(*address, deadline); !connected) {
        co_return connected.error();
    }
    ++counts_.opened;
    co_return std::make_unique<HttpClientCall>(std::move(connection));
}

/// Takes the most recently used connection, so that surplus connections reach their idle time and are closed.
std::shared_ptr<HttpClientConnection> HttpConnectionPoolState::takeIdle(const Endpoint &endpoint)
{
    for (;;) {
        const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
                                        [&](const auto &connection) { return connection->endpoint() == endpoint; });
        if (found == idle_.rend()) {
            return nullptr;
        }
        auto connection = std::move(*found);
        idle_.erase(std::next(found).base());
        if (connection->isUsable()) {
            return connection;
        }
        ++counts_.closedByServer;
        connection->close();
    }
}

bool HttpConnectionPoolState::ensureCapacity(const Endpoint &endpoint)
{
    if (connectionCount(endpoint) >= limits_.connectionsPerEndpoint) {
        closeOldestIdle(&endpoint);
    }
    if (connections_ >= limits_.connections) {
        closeOldestIdle(nullptr);
    }
    return connectionCount(endpoint) < limits_.connectionsPerEndpoint && connections_ < limits_.connections;
}

void HttpConnectionPoolState::closeOldestIdle(const Endpoint *endpoint)
{
    const auto found = std::find_if(idle_.begin(), idle_.end(), [&](const auto &connection) {
        return endpoint == nullptr || connection->endpoint() == *endpoint;
    });
    if (found != idle_.end()) {
        const auto connection = std::move(*found);
        idle_.erase(found);
        connection->close();
    }
}

void HttpConnectionPoolState::release(std::shared_ptr<HttpClientConnection> connection)
{
    HttpClientConnection *const key = connection.get();
    connection->startIdle(limits_.idleTime, [weak = weak_from_this(), key] {
        if (const auto self = weak.lock()) {
            self->closeExpiredIdle(key);
        }
    });
    idle_.push_back(std::move(connection));
}

void HttpConnectionPoolState::closeExpiredIdle(const HttpClientConnection *connection)
{
    const auto found = std::find_if(idle_.begin(), idle_.end(),
                                    [connection](const auto &candidate) { return candidate.get() == connection; });
    if (found != idle_.end()) {
        const auto keptUntilReturn = std::move(*found);
        idle_.erase(found);
        keptUntilReturn->close();
    }
}

void HttpConnectionPoolState::removeConnection(const Endpoint &endpoint)
{
    --connections_;
    const auto found = connectionsByEndpoint_.find(endpoint);
    if (found != connectionsByEndpoint_.end() && --found->second == 0) {
        connectionsByEndpoint_.erase(found);
    }
}

void HttpConnectionPoolState::setMaxConnections(std::size_t maxConnections)
{
    limits_.connections = maxConnections;
    limits_.connectionsPerEndpoint = maxConnections;
}

void HttpConnectionPoolState::closeIdle()
{
    const auto idleConnections = std::exchange(idle_, {});
    for (const auto &connection : idleConnections) {
        connection->close();
    }
}

std::size_t HttpConnectionPoolState::connectionCount(const Endpoint &endpoint) const
{
    const auto found = connectionsByEndpoint_.find(endpoint);
    return found == connectionsByEndpoint_.end() ? 0 : found->second;
}

}

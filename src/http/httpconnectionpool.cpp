#include "http/httpconnectionpool.h"

#include <utility>

#include "http/httpconnectionpoolstate.h"

namespace Egretpath
{

HttpConnectionPool::HttpConnectionPool(boost::asio::any_io_executor executor, HttpPoolLimits limits)
    : state_(std::make_shared<HttpConnectionPoolState>(std::move(executor), limits))
{
}

HttpConnectionPool::~HttpConnectionPool()
{
    state_->closeIdle();
}

boost::asio::awaitable<Result<std::unique_ptr<HttpClientCall>>>
HttpConnectionPool::open(Endpoint endpoint, TimePoint deadline, HttpConnectionChoice choice)
{
    return state_->open(std::move(endpoint), deadline, choice);
}

void HttpConnectionPool::setMaxConnections(std::size_t maxConnections)
{
    state_->setMaxConnections(maxConnections);
}

void HttpConnectionPool::closeIdle()
{
    state_->closeIdle();
}

std::size_t HttpConnectionPool::connectionCount() const
{
    return state_->connectionCount();
}

std::size_t HttpConnectionPool::connectionCount(const Endpoint &endpoint) const
{
    return state_->connectionCount(endpoint);
}

std::size_t HttpConnectionPool::idleCount() const
{
    return state_->idleCount();
}

const HttpPoolCounts &HttpConnectionPool::counts() const
{
    return state_->counts_;
}

}

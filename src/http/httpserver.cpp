#include "http/httpserver.h"

#include <utility>

#include "http/httpserverstate.h"
#include "http/tcpendpoint.h"

namespace Egretpath
{

HttpServer::HttpServer(boost::asio::any_io_executor executor, HttpLimits limits, Handler handler)
    : state_(std::make_shared<HttpServerState>(std::move(executor), std::move(limits), std::move(handler)))
{
}

HttpServer::~HttpServer()
{
    state_->end();
}

Result<Endpoint> HttpServer::listen(const Endpoint &endpoint)
{
    const auto address = toTcpEndpoint(endpoint);
    if (!address) {
        return notRun(Reason::ConnectFailed, "not an IP address and port: " + endpoint.value());
    }
    return state_->listen(*address);
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    state_->setLimits(limits);
}

void HttpServer::disableKeepAlive()
{
    state_->disableKeepAlive();
}

void HttpServer::stopAccepting()
{
    state_->stopAccepting();
}

boost::asio::awaitable<void> HttpServer::waitUntilDrained()
{
    return state_->waitUntilDrained();
}

void HttpServer::closeAll()
{
    state_->closeAll();
}

std::size_t HttpServer::connectionCount() const
{
    return state_->connectionCount();
}

std::size_t HttpServer::unacknowledgedBytes() const
{
    return state_->unacknowledgedBytes();
}

const HttpServerCounts &HttpServer::counts() const
{
    return state_->counts_;
}

}

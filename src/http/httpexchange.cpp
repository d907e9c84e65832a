#include "http/httpexchange.h"

#include <utility>

#include "http/httpserverconnection.h"

namespace Egretpath
{

HttpExchange::HttpExchange(std::shared_ptr<HttpServerConnection> connection)
    : connection_(std::move(connection))
{
}

HttpExchange::~HttpExchange() = default;

const HttpRequestHead &HttpExchange::head() const
{
    return connection_->head();
}

const Endpoint &HttpExchange::remoteEndpoint() const
{
    return connection_->remoteEndpoint();
}

boost::asio::awaitable<Result<std::string>> HttpExchange::readBody()
{
    return connection_->readBody();
}

boost::asio::awaitable<Result<void>> HttpExchange::respond(HttpResponseHead head, std::string body)
{
    return connection_->respond(std::move(head), std::move(body));
}

boost::asio::awaitable<Result<void>> HttpExchange::beginResponse(HttpResponseHead head,
                                                                 std::optional<std::uint64_t> length)
{
    return connection_->beginResponse(std::move(head), length);
}

boost::asio::awaitable<Result<void>> HttpExchange::writeBody(std::string chunk)
{
    return connection_->writeBody(std::move(chunk));
}

boost::asio::awaitable<Result<void>> HttpExchange::endResponse()
{
    return connection_->endResponse();
}

void HttpExchange::abort()
{
    connection_->abort();
}

bool HttpExchange::responseBegun() const
{
    return connection_->responseBegun();
}

bool HttpExchange::callerGone() const
{
    return connection_->callerGone();
}

void HttpExchange::onCallerGone(std::function<void()> callback)
{
    connection_->onCallerGone(std::move(callback));
}

}

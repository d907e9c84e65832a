#include "http/httpexchange.h"

#include <array>
#include <utility>

#include "http/httpserverexchange.h"

namespace Egretpath
{

std::string_view describe(ConnectionLoss loss)
{
    constexpr std::array<std::string_view, 4> Words{"the caller is there", "the caller went away",
                                                    "an earlier answer closed the connection",
                                                    "the node reset the connection"};
    return Words.at(static_cast<std::size_t>(loss));
}

HttpExchange::HttpExchange(std::shared_ptr<HttpServerExchange> exchange)
    : exchange_(std::move(exchange))
{
}

HttpExchange::~HttpExchange() = default;

const HttpRequestHead &HttpExchange::head() const
{
    return exchange_->head();
}

const Endpoint &HttpExchange::remoteEndpoint() const
{
    return exchange_->remoteEndpoint();
}

boost::asio::awaitable<Result<std::string>> HttpExchange::readBody()
{
    return exchange_->readBody();
}

void HttpExchange::setBodyDeadline(TimePoint deadline)
{
    exchange_->setBodyDeadline(deadline);
}

void HttpExchange::endBody(Failure failure)
{
    exchange_->endBody(std::move(failure));
}

void HttpExchange::limitUnreadBytes(Bytes size)
{
    exchange_->limitUnreadBytes(size);
}

boost::asio::awaitable<Result<void>> HttpExchange::respond(HttpResponseHead head, std::string body)
{
    return exchange_->respond(std::move(head), std::move(body));
}

boost::asio::awaitable<Result<void>> HttpExchange::startResponse(HttpResponseHead head,
                                                                 std::optional<std::uint64_t> length)
{
    return exchange_->startResponse(std::move(head), length);
}

boost::asio::awaitable<Result<void>> HttpExchange::writeBody(std::string chunk)
{
    return exchange_->writeBody(std::move(chunk));
}

boost::asio::awaitable<Result<void>> HttpExchange::finishResponse()
{
    return exchange_->finishResponse();
}

boost::asio::awaitable<void> HttpExchange::waitForTurn()
{
    return exchange_->waitForTurn();
}

void HttpExchange::abort()
{
    exchange_->abort();
}

bool HttpExchange::hasResponseStarted() const
{
    return exchange_->hasResponseStarted();
}

bool HttpExchange::callerDisconnected() const
{
    return exchange_->callerDisconnected();
}

ConnectionLoss HttpExchange::connectionLoss() const
{
    return exchange_->connectionLoss();
}

void HttpExchange::onCallerDisconnected(std::function<void()> callback)
{
    exchange_->onCallerDisconnected(std::move(callback));
}

}

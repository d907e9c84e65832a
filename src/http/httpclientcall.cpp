#include "http/httpclientcall.h"

#include <utility>

#include "http/httpclientconnection.h"

namespace Egretpath
{

HttpClientCall::HttpClientCall(std::shared_ptr<HttpClientConnection> connection)
    : connection_(std::move(connection))
{
}

HttpClientCall::~HttpClientCall()
{
    connection_->finishCall();
}

Result<void> HttpClientCall::sendHead(const HttpRequestHead &head)
{
    return connection_->sendHead(head);
}

boost::asio::awaitable<Result<void>> HttpClientCall::writeBody(std::string chunk)
{
    return connection_->writeBody(std::move(chunk));
}

boost::asio::awaitable<Result<void>> HttpClientCall::finishRequest()
{
    return connection_->finishRequest();
}

boost::asio::awaitable<Result<void>> HttpClientCall::sendSharedRequest(HttpRequestHead head, std::string_view body)
{
    return connection_->sendSharedRequest(std::move(head), body);
}

boost::asio::awaitable<Result<void>> HttpClientCall::sendRequest(HttpRequestHead head, std::string body)
{
    return connection_->sendRequest(std::move(head), std::move(body));
}

boost::asio::awaitable<Result<HttpResponseHead>> HttpClientCall::readHead()
{
    return connection_->readHead();
}

boost::asio::awaitable<Result<std::string>> HttpClientCall::readBody()
{
    return connection_->readBody();
}

boost::asio::awaitable<Result<std::string>> HttpClientCall::readCompleteBody(Bytes maxSize)
{
    std::string completeBody;
    for (;;) {
        auto piece = co_await connection_->readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return completeBody;
        }
        if (completeBody.size() + piece.value().size() > maxSize.value()) {
            cancel();
            co_return mayHaveRun(Reason::TooLarge, "the response is over the limit");
        }
        completeBody += piece.value();
    }
}

void HttpClientCall::waitWhileBytesArrive(Duration maxSilence)
{
    connection_->waitWhileBytesArrive(maxSilence);
}

void HttpClientCall::setDeadline(TimePoint deadline)
{
    connection_->setDeadline(deadline);
}

TimePoint HttpClientCall::lastArrival() const
{
    return connection_->lastArrival();
}

bool HttpClientCall::isFirstByteSent() const
{
    return connection_->isFirstByteSent();
}

bool HttpClientCall::isConnectionReused() const
{
    return connection_->isConnectionReused();
}

void HttpClientCall::cancel()
{
    connection_->cancel();
}

}

#include "http/httpserverexchange.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/httpserver.h"
#include "http/httpserverconnection.h"
#include "http/messagewriter.h"

namespace Egretpath
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::uint16_t InternalErrorStatus = 500;

bool statusForbidsBody(std::uint16_t status)
{
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    return status == NoContent || status == NotModified;
}

Failure disconnectedFailure()
{
    return mayHaveRun(Reason::Cancelled, "the caller went away");
}

}

HttpServerExchange::HttpServerExchange(std::shared_ptr<HttpServerConnection> connection, const HttpLimits &limits)
    : connection_(std::move(connection))
    , turnSignal_(connection_->executor(), asio::steady_timer::time_point::max())
    , bodyReadSignal_(connection_->executor(), asio::steady_timer::time_point::max())
{
    setLimits(limits);
}

void HttpServerExchange::setLimits(const HttpLimits &limits)
{
    parser_.emplace(limits.headerBytes, limits.bodyBytes);
    areSizesProvisional_ = limits.areSizesProvisional;
}

const Endpoint &HttpServerExchange::remoteEndpoint() const
{
    return connection_->remoteEndpoint();
}

void HttpServerExchange::onHeadRead()
{
    keepAlive_ = parser_->head().keepAlive;
    const auto expectation = parser_->head().headers.find("Expect");
    expectsContinue_ = expectation && isSameHeaderName(*expectation, "100-continue");
}

asio::awaitable<Result<std::string>> HttpServerExchange::readBody()
{
    for (;;) {
        if (bodyEnd_) {
            keepAlive_ = false;
            co_return *bodyEnd_;
        }
        std::string body = parser_->takeBody();
        if (!body.empty() || parser_->isDone()) {
            signalBodyRead();
            co_return body;
        }
        if (callerDisconnected()) {
            co_return notRun(Reason::Cancelled, "the caller went away");
        }
        if (std::exchange(expectsContinue_, false)) {
            if (auto sent = co_await sendContinue(); !sent) {
                co_return notRun(Reason::Cancelled, "the caller went away");
            }
        }
        if (auto more = co_await readMore(); !more) {
            co_return more.error();
        }
    }
}

asio::awaitable<Result<void>> HttpServerExchange::readMore()
{
    const error_code error = co_await connection_->readBodyBytes(bodyDeadline_);
    if (error) {
        keepAlive_ = false;
        if (bodyEnd_) {
            co_return *bodyEnd_;
        }
        if (connection_->hasTimedOut()) {
            co_return notRun(Reason::DeadlinePassed, "the request body stalled");
        }
        connection_->recordCallerDisconnected();
        co_return notRun(Reason::Cancelled, "the request body ended early");
    }
    if (const MessageProblem problem = parser_->feed(connection_->buffer()); problem != MessageProblem::None) {
        co_return bodyFailure(problem);
    }
    co_return boost::outcome_v2::success();
}

void HttpServerExchange::endBody(Failure failure)
{
    if (!parser_->isDone()) {
        bodyEnd_ = std::move(failure);
        connection_->endRead();
    }
}

void HttpServerExchange::limitUnreadBytes(Bytes size)
{
    connection_->limitUnreadBytes(size);
}

Result<void> HttpServerExchange::bodyFailure(MessageProblem problem)
{
    keepAlive_ = false;
    if (problem == MessageProblem::BodyTooLarge) {
        return notRun(Reason::TooLarge, "the request body is over the limit");
    }
    return notRun(Reason::BadRequest, "the request body is malformed");
}

void HttpServerExchange::signalBodyRead()
{
    if (parser_->isDone()) {
        bodyReadSignal_.cancel();
    }
}

asio::awaitable<Result<void>> HttpServerExchange::sendContinue()
{
    co_await waitForTurn();
    const auto sent = co_await writeBytes("HTTP/1.1 100 Continue\r\n\r\n");
    responseBytesSent_ = 0; // The interim response doesn't count as part of the response.
    co_return sent;
}

/// The response to a HEAD request has the same head as the response to GET, but no body.
bool HttpServerExchange::responseCarriesBody(std::uint16_t status) const
{
    return parser_->head().method != "HEAD" && !statusForbidsBody(status);
}

Result<void> HttpServerExchange::prepareResponse(const HttpResponseHead &head, std::optional<std::uint64_t> length)
{
    // If the request was not read completely, its rest would be parsed as the next request. The connection therefore
    // closes after this response.
    keepAlive_ = keepAlive_ && !connection_->closesAfter(*this) && parser_->isDone();
    if (!keepAlive_) {
        // Its caller takes a request behind this answer for one that was not read, and sends it again.
        connection_->takeNoMoreRequests();
    }
    const MessageFraming framing{length, keepAlive_, statusForbidsBody(head.status)};
    auto text = writeResponseHead(head, framing);
    if (!text) {
        return notRun(Reason::BadRequest, "a response head that no message may carry");
    }
    omitsBody_ = !responseCarriesBody(head.status);
    remainingBytes_ = length;
    pendingHead_ = std::move(*text);
    response_ = ResponseState::Started;
    return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> HttpServerExchange::respond(HttpResponseHead head, std::string body)
{
    co_await waitForTurn();
    if (auto prepared = prepareResponse(head, body.size()); !prepared) {
        co_return prepared;
    }
    if (omitsBody_) {
        body.clear();
    }
    auto written = co_await writePiece(std::move(body), false);
    if (written) {
        response_ = ResponseState::Complete;
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpServerExchange::startResponse(HttpResponseHead head,
                                                                std::optional<std::uint64_t> length)
{
    co_await waitForTurn();
    if (callerDisconnected()) {
        co_return disconnectedFailure();
    }
    co_return prepareResponse(head, length);
}

asio::awaitable<Result<void>> HttpServerExchange::writeBody(std::string chunk)
{
    if (remainingBytes_ && chunk.size() > *remainingBytes_) {
        co_return mayHaveRun(Reason::TooLarge, "more body than announced");
    }
    if (remainingBytes_) {
        *remainingBytes_ -= chunk.size();
    }
    if (chunk.empty() || omitsBody_) {
        co_return boost::outcome_v2::success();
    }
    co_return co_await writePiece(std::move(chunk), !remainingBytes_);
}

asio::awaitable<Result<void>> HttpServerExchange::finishResponse()
{
    if (remainingBytes_.value_or(0) > 0 && !omitsBody_) {
        abort();
        co_return mayHaveRun(Reason::BadAnswer, "less body than announced");
    }
    std::string data = std::exchange(pendingHead_, {});
    if (!remainingBytes_ && !omitsBody_) {
        data += writeLastChunk();
    }
    auto written = co_await writeBytes(std::move(data));
    if (written) {
        response_ = ResponseState::Complete;
    }
    co_return written;
}

/// Writes a piece of the body, preceded by the head if the head was not sent yet.
asio::awaitable<Result<void>> HttpServerExchange::writePiece(std::string content, bool chunked)
{
    BodyWrites writes = joinHeadAndBody(std::exchange(pendingHead_, {}), std::move(content), chunked);
    auto written = co_await writeBytes(std::move(writes.first));
    if (written && !writes.second.empty()) {
        written = co_await writeBytes(std::move(writes.second));
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpServerExchange::writeBytes(std::string data)
{
    if (callerDisconnected() || !connection_->isOpen()) {
        co_return disconnectedFailure();
    }
    if (const error_code error = co_await connection_->write(std::move(data), responseBytesSent_)) {
        connection_->recordCallerDisconnected();
        co_return disconnectedFailure();
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<void> HttpServerExchange::waitForTurn()
{
    const auto self = shared_from_this();
    while (!callerDisconnected() && !connection_->isFirst(*this)) {
        error_code ignored;
        co_await turnSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> HttpServerExchange::waitForBody()
{
    const auto self = shared_from_this();
    while (!parser_->isDone() && !isFinished_) {
        error_code ignored;
        co_await bodyReadSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void HttpServerExchange::abort()
{
    keepAlive_ = false;
    connection_->drop();
}

void HttpServerExchange::onCallerDisconnected(std::function<void()> callback)
{
    callerDisconnectedCallback_ = std::move(callback);
    if (callerDisconnected() && callerDisconnectedCallback_) {
        // The posted function calls the callback that is set when it runs, because the handler may have replaced or
        // removed this one by then.
        asio::post(connection_->executor(),
                   [self = shared_from_this()] { self->recordDisconnected(ConnectionLoss::Caller); });
    }
}

asio::awaitable<void> HttpServerExchange::finish()
{
    callerDisconnectedCallback_ = nullptr;
    co_await waitForTurn();
    if (response_ == ResponseState::Complete) {
        keepAlive_ = keepAlive_ && parser_->isDone() && !callerDisconnected();
    } else if (!hasResponseStarted() && !callerDisconnected() && connection_->isOpen()) {
        keepAlive_ = false;
        HttpResponseHead head;
        head.status = InternalErrorStatus;
        (void)co_await respond(std::move(head), {});
    } else {
        abort();
    }
    isFinished_ = true;
    bodyReadSignal_.cancel();
}

void HttpServerExchange::recordDisconnected(ConnectionLoss loss)
{
    keepAlive_ = false;
    if (connectionLoss_ == ConnectionLoss::None) {
        connectionLoss_ = loss;
    }
    turnSignal_.cancel();
    if (const auto callback = std::exchange(callerDisconnectedCallback_, nullptr)) {
        callback();
    }
}

void HttpServerExchange::onTurn()
{
    turnSignal_.cancel();
}

}

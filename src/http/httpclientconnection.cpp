#include "http/httpclientconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/httpconnectionpoolstate.h"
#include "http/messagewriter.h"
#include "http/socketio.h"

namespace Egretpath
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::uint16_t SwitchingProtocolsStatus = 101;
constexpr std::uint16_t FirstFinalStatus = 200;

/// Methods whose requests say nothing about a body when they have none.
bool methodImpliesNoBody(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "DELETE" || method == "OPTIONS" || method == "TRACE";
}

}

HttpClientConnection::HttpClientConnection(Endpoint endpoint, const HttpPoolLimits &limits,
                                           std::weak_ptr<HttpConnectionPoolState> pool, asio::any_io_executor executor)
    : socket_(executor)
    , endpoint_(std::move(endpoint))
    , limits_(limits)
    , pool_(std::move(pool))
    , buffer_(std::max<std::size_t>(limits.readBufferBytes, limits.headerBytes))
    , timer_(executor, [this] { timeExpired(); })
{
}

HttpClientConnection::~HttpClientConnection()
{
    if (const auto pool = pool_.lock()) {
        pool->removeConnection(endpoint_);
    }
}

asio::awaitable<Result<void>> HttpClientConnection::connect(asio::ip::tcp::endpoint address, TimePoint deadline)
{
    deadline_ = deadline;
    timer_.expireAt(deadline);
    error_code error;
    co_await socket_.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (expired_) {
        co_return notRun(Reason::DeadlinePassed, "no connection to " + endpoint_.value() + " before the deadline");
    }
    if (error) {
        co_return notRun(Reason::ConnectFailed, "connect to " + endpoint_.value() + ": " + error.message());
    }
    prepareSocket(socket_);
    co_return boost::outcome_v2::success();
}

void HttpClientConnection::beginCall(TimePoint deadline)
{
    idleExpired_ = nullptr;
    parser_.reset();
    bytesSent_ = 0;
    requestDone_ = false;
    reused_ = true;
    deadline_ = deadline;
    timer_.expireAt(deadline);
}

bool HttpClientConnection::isUsable()
{
    return socket_.is_open() && peekState(socket_) == SocketState::Quiet;
}

void HttpClientConnection::beginIdle(Duration idleTime, std::function<void()> expired)
{
    idleExpired_ = std::move(expired);
    buffer_.shrink();
    timer_.expireAfter(idleTime);
}

void HttpClientConnection::endCall()
{
    timer_.disarm();
    const bool whole = requestDone_ && parser_ && parser_->done() && buffer_.empty();
    const bool reusable = whole && keepAlive_ && parser_->keepAlive() && socket_.is_open();
    const auto pool = pool_.lock();
    if (reusable && pool) {
        pool->giveBack(shared_from_this());
    } else {
        close();
    }
}

void HttpClientConnection::close()
{
    timer_.disarm();
    closeSocket(socket_);
}

Result<void> HttpClientConnection::sendHead(const HttpRequestHead &head)
{
    const bool bodiless = head.contentLength == std::uint64_t{0} && methodImpliesNoBody(head.method);
    auto text = writeRequestHead(head, MessageFraming{head.contentLength, head.keepAlive, bodiless}, endpoint_.value());
    if (!text) {
        return notRun(Reason::BadRequest, "a request head that no message may carry");
    }
    pendingHead_ = std::move(*text);
    remaining_ = head.contentLength;
    keepAlive_ = head.keepAlive;
    headRequest_ = head.method == "HEAD";
    return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> HttpClientConnection::writeBody(std::string chunk)
{
    if (remaining_ && chunk.size() > *remaining_) {
        co_return failure(Reason::TooLarge, "more body than announced");
    }
    if (chunk.empty()) {
        co_return boost::outcome_v2::success();
    }
    if (remaining_) {
        *remaining_ -= chunk.size();
    }
    BodyWrites writes = joinBodyPiece(std::exchange(pendingHead_, {}), std::move(chunk), !remaining_);
    auto written = co_await writeOut(std::move(writes.first));
    if (written && !writes.second.empty()) {
        written = co_await writeOut(std::move(writes.second));
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpClientConnection::finishRequest()
{
    if (remaining_.value_or(0) > 0) {
        close();
        co_return failure(Reason::BadRequest, "less body than announced");
    }
    std::string data = std::exchange(pendingHead_, {});
    if (!remaining_) {
        data += writeLastChunk();
    }
    auto written = co_await writeOut(std::move(data));
    requestDone_ = written.has_value();
    co_return written;
}

asio::awaitable<Result<void>> HttpClientConnection::sendRequest(HttpRequestHead head, std::string body)
{
    head.contentLength = body.size();
    if (auto prepared = sendHead(head); !prepared) {
        co_return prepared;
    }
    if (auto written = co_await writeBody(std::move(body)); !written) {
        co_return written;
    }
    co_return co_await finishRequest();
}

asio::awaitable<Result<void>> HttpClientConnection::writeOut(std::string data)
{
    // A process that was paused may get here before its overdue timer fires. Its caller may have been told that the
    // request did not run, so the first byte must not leave any more.
    if (!firstByteSent() && std::chrono::steady_clock::now() >= deadline_) {
        timeExpired();
    }
    if (cancelled_ || expired_ || !socket_.is_open()) {
        co_return socketFailure(asio::error::operation_aborted);
    }
    if (const error_code error = co_await writeAll(socket_, data, bytesSent_)) {
        co_return socketFailure(error);
    }
    co_return boost::outcome_v2::success();
}

/// Reads once and parses. An end of the connection inside of a message is never taken for the end of the message.
asio::awaitable<Result<void>> HttpClientConnection::readMore()
{
    if (cancelled_ || expired_ || !socket_.is_open()) {
        co_return socketFailure(asio::error::operation_aborted);
    }
    const bool begun = parser_->headDone();
    if (const error_code error = co_await readSome(socket_, buffer_)) {
        // Only an orderly end completes a body without a length; after a reset the rest of it is missing.
        const bool atEnd = error == asio::error::eof && begun && parser_->endsWithConnection();
        if (atEnd && parser_->finishAtEnd()) {
            co_return boost::outcome_v2::success();
        }
        const bool early = begun && !cancelled_ && !expired_;
        co_return early ? failure(Reason::BadAnswer, "the response ended early: " + error.message())
                        : socketFailure(error);
    }
    if (parser_->feed(buffer_) != MessageProblem::None) {
        close();
        co_return failure(Reason::BadAnswer, "malformed response");
    }
    co_return boost::outcome_v2::success();
}

asio::awaitable<Result<HttpResponseHead>> HttpClientConnection::readHead()
{
    for (;;) {
        parser_.emplace(limits_.headerBytes, headRequest_);
        MessageProblem problem = parser_->feed(buffer_);
        while (problem == MessageProblem::None && !parser_->headDone()) {
            if (auto more = co_await readMore(); !more) {
                co_return more.error();
            }
        }
        const bool informational = parser_->status() < FirstFinalStatus;
        if (problem != MessageProblem::None || parser_->status() == SwitchingProtocolsStatus) {
            close();
            co_return failure(Reason::BadAnswer, "malformed response");
        }
        if (!informational) {
            break;
        }
    }
    co_return parser_->takeHead();
}

asio::awaitable<Result<std::string>> HttpClientConnection::readBody()
{
    for (;;) {
        std::string body = parser_->takeBody();
        if (!body.empty() || parser_->done()) {
            co_return body;
        }
        if (auto more = co_await readMore(); !more) {
            co_return more.error();
        }
    }
}

void HttpClientConnection::cancel()
{
    cancelled_ = true;
    resetSocket(socket_);
}

Failure HttpClientConnection::failure(Reason reason, std::string detail) const
{
    return firstByteSent() ? mayHaveRun(reason, std::move(detail)) : notRun(reason, std::move(detail));
}

Failure HttpClientConnection::socketFailure(const error_code &error) const
{
    if (cancelled_) {
        return failure(Reason::Cancelled, "cancelled");
    }
    if (expired_) {
        return failure(Reason::DeadlinePassed, "no answer from " + endpoint_.value() + " before the deadline");
    }
    return failure(Reason::ConnectionLost, endpoint_.value() + ": " + error.message());
}

void HttpClientConnection::timeExpired()
{
    if (const auto expired = std::exchange(idleExpired_, nullptr)) {
        expired();
        return;
    }
    expired_ = true;
    closeSocket(socket_);
}

}

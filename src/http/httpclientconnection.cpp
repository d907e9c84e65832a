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
/// Informational heads before the final one, of which servers send one or two.
constexpr unsigned MaxInformationalHeads = 16;
/// Turns that the event loop makes after the deadline of a call that follows its answer, and the time between them. A
/// process that was stalled, even several times in a row, reads in these turns what arrived meanwhile. Turns are
/// counted, since a time alone may pass in the next stall.
constexpr unsigned MaxLateTurns = 10;
constexpr Milliseconds LateTurnInterval{5};
/// The part of a shared body that is copied at a time.
constexpr std::size_t MaxSharedPart = std::size_t{256} * 1024;

/// Whether a request of this method carries no framing field (Content-Length, Transfer-Encoding) when it has no body.
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
    , timer_(executor, [this] { onTimeout(); })
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
    limitUnreadBytes(address.protocol());
    co_await socket_.async_connect(address, asio::redirect_error(asio::use_awaitable, error));
    if (hasTimedOut_) {
        co_return notRun(Reason::DeadlinePassed, "no connection to " + endpoint_.value() + " before the deadline");
    }
    if (error) {
        co_return notRun(Reason::ConnectFailed, "connect to " + endpoint_.value() + ": " + error.message());
    }
    prepareSocket(socket_, limits_.silentPeer);
    co_return boost::outcome_v2::success();
}

/// Has to be done before the connection is made: its window is agreed on then.
void HttpClientConnection::limitUnreadBytes(const asio::ip::tcp &protocol)
{
    if (limits_.unreadBytes > 0) {
        error_code ignored;
        socket_.open(protocol, ignored);
        socket_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(limits_.unreadBytes)), ignored);
    }
}

void HttpClientConnection::startCall(TimePoint deadline)
{
    endIdleWatch();
    parser_.reset();
    maxSilence_.reset();
    lateTurns_ = 0;
    bytesSent_ = 0;
    isRequestFinished_ = false;
    hasWriteFailed_ = false;
    isReused_ = true;
    deadline_ = deadline;
    timer_.expireAt(deadline);
}

bool HttpClientConnection::isUsable()
{
    return socket_.is_open() && peekState(socket_) == SocketState::Idle;
}

void HttpClientConnection::startIdle(Duration idleTime, std::function<void()> onExpired)
{
    onIdleExpired_ = std::move(onExpired);
    buffer_.shrink();
    timer_.expireAfter(idleTime);
    socket_.async_wait(asio::ip::tcp::socket::wait_read,
                       [weak = weak_from_this(), period = ++idlePeriod_](const error_code &error) {
                           const auto self = weak.lock();
                           if (self && !error && self->idlePeriod_ == period) {
                               self->onIdleInput();
                           }
                       });
}

/// Bytes that come on an idle connection belong to no request, and would fill the memory of the socket.
void HttpClientConnection::onIdleInput()
{
    if (const auto pool = pool_.lock()) {
        ++pool->counts_.closedByServer;
    }
    if (const auto onExpired = std::exchange(onIdleExpired_, nullptr)) {
        onExpired();
    }
}

void HttpClientConnection::endIdleWatch()
{
    ++idlePeriod_;
    onIdleExpired_ = nullptr;
    error_code ignored;
    socket_.cancel(ignored);
}

void HttpClientConnection::finishCall()
{
    timer_.disarm();
    const bool isComplete = isRequestFinished_ && parser_ && parser_->isDone() && buffer_.empty();
    const bool isReusable = isComplete && keepAlive_ && parser_->keepAlive() && socket_.is_open();
    const auto pool = pool_.lock();
    if (isReusable && pool) {
        pool->release(shared_from_this());
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
    const bool hasNoBody = head.contentLength == std::uint64_t{0} && methodImpliesNoBody(head.method);
    auto text =
        writeRequestHead(head, MessageFraming{head.contentLength, head.keepAlive, hasNoBody}, endpoint_.value());
    if (!text) {
        return notRun(Reason::BadRequest, "a request head that no message may carry");
    }
    pendingHead_ = std::move(*text);
    remainingBytes_ = head.contentLength;
    keepAlive_ = head.keepAlive;
    isHeadRequest_ = head.method == "HEAD";
    return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> HttpClientConnection::writeBody(std::string chunk)
{
    if (remainingBytes_ && chunk.size() > *remainingBytes_) {
        co_return failure(Reason::TooLarge, "more body than announced");
    }
    if (chunk.empty()) {
        co_return boost::outcome_v2::success();
    }
    if (remainingBytes_) {
        *remainingBytes_ -= chunk.size();
    }
    BodyWrites writes = joinHeadAndBody(std::exchange(pendingHead_, {}), std::move(chunk), !remainingBytes_);
    auto written = co_await writeBytes(std::move(writes.first));
    if (written && !writes.second.empty()) {
        written = co_await writeBytes(std::move(writes.second));
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpClientConnection::finishRequest()
{
    if (remainingBytes_.value_or(0) > 0) {
        close();
        co_return failure(Reason::BadRequest, "less body than announced");
    }
    std::string data = std::exchange(pendingHead_, {});
    if (!remainingBytes_) {
        data += writeLastChunk();
    }
    auto written = co_await writeBytes(std::move(data));
    isRequestFinished_ = written.has_value();
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

asio::awaitable<Result<void>> HttpClientConnection::sendSharedRequest(HttpRequestHead head, std::string_view body)
{
    head.contentLength = body.size();
    if (auto prepared = sendHead(head); !prepared) {
        co_return prepared;
    }
    while (!body.empty()) {
        std::string part(body.substr(0, MaxSharedPart));
        body.remove_prefix(part.size());
        if (auto written = co_await writeBody(std::move(part)); !written) {
            co_return written;
        }
    }
    co_return co_await finishRequest();
}

asio::awaitable<Result<void>> HttpClientConnection::writeBytes(std::string data)
{
    // After the process was paused, this code may run before the overdue timer fires. The verdict NotRun may have been
    // reported to the caller, so the first byte must not be sent after the deadline.
    if (!isFirstByteSent() && std::chrono::steady_clock::now() >= deadline_) {
        onTimeout();
    }
    if (isCancelled_ || hasTimedOut_ || !socket_.is_open()) {
        co_return socketFailure(asio::error::operation_aborted);
    }
    if (const error_code error = co_await writeAll(socket_, data, bytesSent_)) {
        hasWriteFailed_ = true;
        co_return socketFailure(error);
    }
    co_return boost::outcome_v2::success();
}

/// Reads once and parses. If the connection ends inside a message, the message is never treated as complete.
asio::awaitable<Result<void>> HttpClientConnection::readMore()
{
    if (isCancelled_ || hasTimedOut_ || !socket_.is_open()) {
        co_return socketFailure(asio::error::operation_aborted);
    }
    const bool hasHead = parser_->isHeadDone();
    if (const error_code error = co_await readSome(socket_, buffer_)) {
        const bool isBodyEnd = hasHead && parser_->needsEof() && isOrderlyEnd(error);
        if (isBodyEnd && parser_->finishAtEof()) {
            co_return boost::outcome_v2::success();
        }
        const bool endedEarly = hasHead && !isCancelled_ && !hasTimedOut_;
        co_return endedEarly ? failure(Reason::BadAnswer, "the response ended early: " + error.message())
                             : socketFailure(error);
    }
    recordArrival();
    if (parser_->feed(buffer_) != MessageProblem::None) {
        close();
        co_return failure(Reason::BadAnswer, "malformed response");
    }
    co_return boost::outcome_v2::success();
}

/// A body without a length is complete only after an orderly close. After a reset its rest may be missing, and if the
/// write has taken the reset, the read sees a plain end.
bool HttpClientConnection::isOrderlyEnd(const error_code &error)
{
    return error == asio::error::eof && !hasWriteFailed_ && !isCancelled_ && !hasTimedOut_ && !wasReset(socket_);
}

asio::awaitable<Result<HttpResponseHead>> HttpClientConnection::readHead()
{
    for (unsigned informationalHeads = 0;; ++informationalHeads) {
        parser_.emplace(limits_.headerBytes, isHeadRequest_);
        MessageProblem problem = parser_->feed(buffer_);
        while (problem == MessageProblem::None && !parser_->isHeadDone()) {
            if (auto more = co_await readMore(); !more) {
                co_return more.error();
            }
        }
        const bool isInformational = parser_->status() < FirstFinalStatus;
        const bool isFinalMissing = isInformational && informationalHeads >= MaxInformationalHeads;
        if (problem != MessageProblem::None || parser_->status() == SwitchingProtocolsStatus || isFinalMissing) {
            close();
            co_return failure(Reason::BadAnswer, "malformed response");
        }
        if (!isInformational) {
            break;
        }
    }
    co_return parser_->takeHead();
}

asio::awaitable<Result<std::string>> HttpClientConnection::readBody()
{
    for (;;) {
        std::string body = parser_->takeBody();
        if (!body.empty() || parser_->isDone()) {
            co_return body;
        }
        if (auto more = co_await readMore(); !more) {
            co_return more.error();
        }
    }
}

void HttpClientConnection::setDeadline(TimePoint deadline)
{
    deadline_ = deadline;
    timer_.expireAt(deadline);
}

void HttpClientConnection::recordArrival()
{
    lastArrival_ = std::chrono::steady_clock::now();
    if (maxSilence_) {
        lateTurns_ = 0;
        deadline_ = std::max<TimePoint>(deadline_, lastArrival_ + *maxSilence_);
        timer_.expireAt(deadline_);
    }
}

void HttpClientConnection::cancel()
{
    isCancelled_ = true;
    resetSocket(socket_);
}

Failure HttpClientConnection::failure(Reason reason, std::string detail) const
{
    return isFirstByteSent() ? mayHaveRun(reason, std::move(detail)) : notRun(reason, std::move(detail));
}

Failure HttpClientConnection::socketFailure(const error_code &error) const
{
    if (isCancelled_) {
        return failure(Reason::Cancelled, "cancelled");
    }
    if (hasTimedOut_) {
        return failure(Reason::DeadlinePassed, "no answer from " + endpoint_.value() + " before the deadline");
    }
    return failure(Reason::ConnectionLost, endpoint_.value() + ": " + error.message());
}

void HttpClientConnection::onTimeout()
{
    if (const auto onExpired = std::exchange(onIdleExpired_, nullptr)) {
        onExpired();
        return;
    }
    if (maxSilence_ && lateTurns_ < MaxLateTurns) {
        ++lateTurns_;
        timer_.expireAfter(LateTurnInterval);
        return;
    }
    hasTimedOut_ = true;
    closeSocket(socket_);
}

}

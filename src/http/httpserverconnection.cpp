#include "http/httpserverconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "http/httpserverexchange.h"
#include "http/httpserverstate.h"
#include "http/messagewriter.h"
#include "http/refusalstatus.h"
#include "http/socketio.h"

namespace Egretpath
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

/// How long a connection that is being closed still reads and discards bytes from a caller that does not close it.
/// Bytes that are unread at the close, or arrive after it, reset the connection, and the caller would lose the end of
/// its answer.
constexpr Milliseconds LingerTime{1000};

/// Limit of concurrent requests on one connection, so that one connection can't use up a node's memory. Callers
/// pipeline only a few requests. Further requests are read once earlier requests have been answered.
constexpr std::size_t MaxPipelinedRequests = 16;

std::size_t bufferCapacity(const HttpLimits &limits)
{
    return std::max<std::size_t>(limits.readBufferBytes, limits.headerBytes);
}

}

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket, Endpoint remote,
                                           std::shared_ptr<HttpServerState> server)
    : socket_(std::move(socket))
    , remote_(std::move(remote))
    , server_(std::move(server))
    , buffer_(bufferCapacity(server_->limits()))
    , readTimer_(server_->executor(), [this] { onReadTimeout(); })
    , writeTimer_(server_->executor(), [this] { onWriteTimeout(); })
    , completionSignal_(server_->executor(), asio::steady_timer::time_point::max())
    , isDraining_(server_->isDraining())
{
}

HttpServerConnection::~HttpServerConnection()
{
    server_->removeConnection(this);
}

const asio::any_io_executor &HttpServerConnection::executor() const
{
    return server_->executor();
}

asio::awaitable<void> HttpServerConnection::run()
{
    const auto self = shared_from_this();
    while (isReading_) {
        const auto exchange = std::make_shared<HttpServerExchange>(self, server_->limits());
        const bool isRead = co_await readHead(*exchange);
        if (!isRead || !takesRequests_) {
            break;
        }
        exchange->onHeadRead();
        exchanges_.push_back(exchange);
        asio::co_spawn(executor(), serve(exchange), asio::detached);
        co_await exchange->waitForBody();
        if (!exchange->isBodyRead()) {
            break;
        }
        buffer_.shrink();
        co_await waitForPipelineSpace();
    }
    isReading_ = false;
    co_await waitUntilAllAnswered();
    co_await closeGracefully();
}

asio::awaitable<void> HttpServerConnection::refuse()
{
    const auto self = shared_from_this();
    waitsForRequest_ = false;
    co_await sendRefusal(UnavailableStatus, "too many connections");
    co_await closeGracefully();
}

void HttpServerConnection::startDraining()
{
    isDraining_ = true;
    if (waitsForRequest_ && exchanges_.empty()) {
        readTimer_.expireAfter(server_->limits().closeGrace);
    }
}

void HttpServerConnection::drop()
{
    resetSocket(socket_);
    recordLoss(ConnectionLoss::Reset);
}

void HttpServerConnection::end()
{
    if (!exchanges_.empty() && exchanges_.front()->hasResponseStarted()) {
        drop();
        return;
    }
    // Unread bytes would make the system reset the connection, and the caller would lose what was not sent yet.
    discardReceived(socket_);
    closeSocket(socket_);
    recordLoss(ConnectionLoss::Reset);
}

/// Reads the head of the next request. Returns whether there is a request to serve.
asio::awaitable<bool> HttpServerConnection::readHead(HttpServerExchange &exchange)
{
    RequestParser &parser = exchange.parser();
    hasTimedOut_ = false;
    buffer_.setMaxCapacity(bufferCapacity(server_->limits()));
    waitsForRequest_ = buffer_.empty();
    isReadingHead_ = !waitsForRequest_;
    if (isReadingHead_) {
        readTimer_.expireAfter(server_->limits().headerReadTime);
    } else {
        startIdleTimer();
    }
    MessageProblem problem = parser.feed(buffer_);
    while (problem == MessageProblem::None && !parser.isHeadDone()) {
        if (co_await readSome(socket_, buffer_, readTimeout_.slot())) {
            if (hasTimedOut_ && isReadingHead_) {
                co_await waitUntilAllAnswered();
                co_await sendRefusal(RequestTimeoutStatus, "the request head took too long");
            } else if (!hasTimedOut_ && isReading_) {
                recordCallerDisconnected();
            }
            co_return false;
        }
        if (std::exchange(waitsForRequest_, false)) {
            isReadingHead_ = true;
            // They may have changed while the connection was idle.
            adoptLimits(exchange);
        }
        problem = parser.feed(buffer_);
    }
    isReadingHead_ = false;
    readTimer_.disarm();
    if (problem != MessageProblem::None) {
        co_await refuseRequest(refusalStatus(problem, exchange.areSizesProvisional()));
        co_return false;
    }
    co_return isReading_;
}

/// Reads the request that begins by the limits of now.
void HttpServerConnection::adoptLimits(HttpServerExchange &exchange)
{
    const HttpLimits &limits = server_->limits();
    exchange.setLimits(limits);
    buffer_.setMaxCapacity(bufferCapacity(limits));
    readTimer_.expireAfter(limits.headerReadTime);
}

void HttpServerConnection::onLimitsChanged()
{
    if (waitsForRequest_ && isReading_) {
        startIdleTimer();
    }
}

/// Starts the idle timeout. There is no timeout while responses are still due.
void HttpServerConnection::startIdleTimer()
{
    if (!exchanges_.empty()) {
        readTimer_.disarm();
        return;
    }
    readTimer_.expireAfter(isDraining_ ? server_->limits().closeGrace : server_->limits().idleTime);
}

asio::awaitable<void> HttpServerConnection::serve(std::shared_ptr<HttpServerExchange> exchange)
{
    const auto self = shared_from_this();
    ++server_->counts_.requests;
    {
        HttpExchange handle(exchange);
        try {
            co_await server_->handler()(handle);
        } catch (...) {
            // An error of the handler affects only its own exchange: finish() handles the incomplete response.
            ++server_->counts_.failedHandlers;
        }
    }
    co_await exchange->finish();
    complete(*exchange);
}

void HttpServerConnection::complete(const HttpServerExchange &exchange)
{
    const bool keepAlive = exchange.keepAlive();
    std::erase_if(exchanges_, [&exchange](const auto &item) { return item.get() == &exchange; });
    if (!keepAlive) {
        stopReading(ConnectionLoss::EarlierAnswer);
    }
    if (!exchanges_.empty()) {
        exchanges_.front()->onTurn();
    } else if (waitsForRequest_ && isReading_) {
        startIdleTimer();
    }
    completionSignal_.cancel();
}

/// Stops reading and reports to the remaining exchanges that the caller disconnected. Called when the caller has
/// disconnected, or when the connection closes after a response. In the second case the caller treats its later
/// requests as not read.
void HttpServerConnection::stopReading(ConnectionLoss loss)
{
    isReading_ = false;
    // A copy, since a callback may complete an exchange and change the list.
    const auto exchanges = exchanges_;
    for (const auto &exchange : exchanges) {
        exchange->recordDisconnected(loss);
    }
    error_code ignored;
    socket_.cancel(ignored);
}

asio::awaitable<void> HttpServerConnection::waitForPipelineSpace()
{
    while (isReading_ && exchanges_.size() >= MaxPipelinedRequests) {
        error_code ignored;
        co_await completionSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> HttpServerConnection::waitUntilAllAnswered()
{
    while (!exchanges_.empty()) {
        error_code ignored;
        co_await completionSignal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> HttpServerConnection::refuseRequest(std::uint16_t status)
{
    ++server_->counts_.refusedRequests;
    co_await waitUntilAllAnswered();
    co_await sendRefusal(status, "malformed or too large request");
}

asio::awaitable<void> HttpServerConnection::sendRefusal(std::uint16_t status, std::string detail)
{
    if (callerDisconnected_) {
        co_return;
    }
    HttpResponseHead head;
    head.status = status;
    head.headers = server_->limits().refusalHeaders;
    head.headers.add("Content-Type", "text/plain");
    detail += '\n';
    const auto text = writeResponseHead(head, MessageFraming{detail.size(), false, false});
    hasTimedOut_ = false;
    std::size_t written = 0;
    (void)co_await write(text.value_or(std::string()) + detail, written);
}

/// Closes the connection so that the bytes already written still arrive.
asio::awaitable<void> HttpServerConnection::closeGracefully()
{
    error_code ignored;
    if (!socket_.is_open() || callerDisconnected_) {
        closeSocket(socket_);
        co_return;
    }
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    std::size_t unacknowledged = unacknowledgedBytes();
    bool isLingering = true;
    while (isLingering) {
        const bool hasEnded = co_await discardInput();
        const std::size_t left = unacknowledgedBytes();
        // A caller that reads its answer slowly still takes some of it in each period.
        isLingering = !hasEnded && left > 0 && left < unacknowledged;
        unacknowledged = left;
    }
    closeSocket(socket_);
}

/// Reads and discards bytes for LingerTime. Returns whether the connection has ended before that.
asio::awaitable<bool> HttpServerConnection::discardInput()
{
    readTimer_.expireAfter(LingerTime);
    hasTimedOut_ = false;
    bool hasEnded = false;
    // Many connections may be closed at the same time, so none keeps its buffer.
    buffer_.consume(buffer_.unread().size());
    buffer_.shrink();
    while (!hasEnded && !hasTimedOut_) {
        const error_code error = co_await waitUntilReadable(socket_, readTimeout_.slot());
        hasEnded = !hasTimedOut_ && (error || !discardReceived(socket_));
    }
    readTimer_.disarm();
    co_return hasEnded;
}

bool HttpServerConnection::isFirst(const HttpServerExchange &exchange) const
{
    return !exchanges_.empty() && exchanges_.front().get() == &exchange;
}

bool HttpServerConnection::closesAfter(const HttpServerExchange &exchange) const
{
    // Requests that were read after this one are still answered before the connection closes.
    const bool isLast = !exchanges_.empty() && exchanges_.back().get() == &exchange;
    return isLast && (isDraining_ || server_->isKeepAliveDisabled());
}

asio::awaitable<error_code> HttpServerConnection::readBodyBytes(TimePoint deadline)
{
    hasTimedOut_ = false;
    readTimer_.expireAt(std::min<TimePoint>(deadline, currentTime() + server_->limits().idleTime));
    // A body that stalls doesn't keep a large buffer.
    if (buffer_.hasGrown() && !hasReceivedBytes(socket_)) {
        buffer_.shrink();
    }
    const error_code error = co_await readSome(socket_, buffer_, readTimeout_.slot());
    readTimer_.disarm();
    co_return error;
}

asio::awaitable<error_code> HttpServerConnection::write(std::string data, std::size_t &written)
{
    const auto startTimer = [this] { writeTimer_.expireAfter(server_->limits().idleTime); };
    startTimer();
    const error_code error = co_await writeAll(socket_, data, written, startTimer);
    writeTimer_.disarm();
    co_return error;
}

void HttpServerConnection::limitUnreadBytes(Bytes size)
{
    error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(static_cast<int>(size.value())), ignored);
    // Many bodies at once would else each have a large buffer. The head of the next request may need more again.
    buffer_.setMaxCapacity(std::min<std::size_t>(size.value(), bufferCapacity(server_->limits())));
}

void HttpServerConnection::onReadTimeout()
{
    endRead();
}

/// Ends the read alone: an earlier answer may be under way.
void HttpServerConnection::endRead()
{
    hasTimedOut_ = true;
    readTimeout_.emit(asio::cancellation_type::all);
}

/// A caller that accepts no byte of its response for HttpLimits::idleTime counts as disconnected.
void HttpServerConnection::onWriteTimeout()
{
    drop();
}

void HttpServerConnection::recordCallerDisconnected()
{
    recordLoss(ConnectionLoss::Caller);
}

void HttpServerConnection::recordLoss(ConnectionLoss loss)
{
    callerDisconnected_ = true;
    stopReading(loss);
}

std::size_t HttpServerConnection::unacknowledgedBytes()
{
    return Egretpath::unacknowledgedBytes(socket_);
}

}

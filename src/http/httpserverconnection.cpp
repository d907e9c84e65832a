#include "http/httpserverconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/httpserverexchange.h"
#include "http/httpserverstate.h"
#include "http/messagewriter.h"
#include "http/socketio.h"

namespace Egretpath
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t RequestTimeoutStatus = 408;
constexpr std::uint16_t ContentTooLargeStatus = 413;
constexpr std::uint16_t HeaderTooLargeStatus = 431;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t VersionStatus = 505;

/// How long a closed connection still takes and drops what the caller sends. Closing with unread bytes would reset the
/// connection, and the caller would lose the answer that says why it was refused.
constexpr Milliseconds LingerTime{1000};

/// Requests of one connection that run at the same time. Callers send a few ahead; more are read once these have been
/// answered, so that one connection can't take all of a node's memory.
constexpr std::size_t PipelineDepth = 16;

std::uint16_t statusOf(MessageProblem problem)
{
    switch (problem) {
    case MessageProblem::HeaderTooLarge:
        return HeaderTooLargeStatus;
    case MessageProblem::BodyTooLarge:
        return ContentTooLargeStatus;
    case MessageProblem::VersionNotSupported:
        return VersionStatus;
    case MessageProblem::None:
    case MessageProblem::Malformed:
        break;
    }
    return BadRequestStatus;
}

}

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket, Endpoint remote,
                                           std::shared_ptr<HttpServerState> server)
    : socket_(std::move(socket))
    , remote_(std::move(remote))
    , server_(std::move(server))
    , buffer_(std::max<std::size_t>(server_->limits().readBufferBytes, server_->limits().headerBytes))
    , readTimer_(server_->executor(), [this] { readTimeExpired(); })
    , writeTimer_(server_->executor(), [this] { writeTimeExpired(); })
    , completed_(server_->executor(), asio::steady_timer::time_point::max())
    , stopping_(server_->stopping())
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
    while (reading_) {
        const auto exchange = std::make_shared<HttpServerExchange>(self, server_->limits());
        if (!co_await readHead(*exchange)) {
            break;
        }
        exchange->begin();
        exchanges_.push_back(exchange);
        asio::co_spawn(executor(), serve(exchange), asio::detached);
        co_await exchange->waitForBody();
        if (!exchange->bodyRead()) {
            unreadRequest_ = true;
            break;
        }
        buffer_.shrink();
        co_await waitForRoom();
    }
    reading_ = false;
    co_await waitUntilAllAnswered();
    co_await closeGently();
}

asio::awaitable<void> HttpServerConnection::refuse()
{
    const auto self = shared_from_this();
    idle_ = false;
    unreadRequest_ = true;
    co_await answerRefusal(UnavailableStatus, "too many connections");
    co_await closeGently();
}

void HttpServerConnection::beginStop()
{
    stopping_ = true;
    if (idle_ && exchanges_.empty()) {
        readTimer_.expireAfter(server_->limits().closeGrace);
    }
}

void HttpServerConnection::drop()
{
    resetSocket(socket_);
    recordCallerDisconnected();
}

/// Returns whether a request is there to be served.
asio::awaitable<bool> HttpServerConnection::readHead(HttpServerExchange &exchange)
{
    const HttpLimits &limits = server_->limits();
    RequestParser &parser = exchange.parser();
    idle_ = buffer_.empty();
    inHead_ = !idle_;
    if (inHead_) {
        readTimer_.expireAfter(limits.headerReadTime);
    } else {
        armIdleLimit();
    }
    MessageProblem problem = parser.feed(buffer_);
    while (problem == MessageProblem::None && !parser.headDone()) {
        if (co_await readSome(socket_, buffer_)) {
            if (timedOut_ && inHead_) {
                unreadRequest_ = true;
                co_await waitUntilAllAnswered();
                co_await answerRefusal(RequestTimeoutStatus, "the request head took too long");
            } else if (!timedOut_ && reading_) {
                recordCallerDisconnected();
            }
            co_return false;
        }
        if (std::exchange(idle_, false)) {
            inHead_ = true;
            readTimer_.expireAfter(limits.headerReadTime);
        }
        problem = parser.feed(buffer_);
    }
    inHead_ = false;
    readTimer_.disarm();
    if (problem != MessageProblem::None) {
        co_await answerProblem(problem);
        co_return false;
    }
    co_return reading_;
}

/// An idle connection ends in time; one whose responses are still due waits for them first.
void HttpServerConnection::armIdleLimit()
{
    if (!exchanges_.empty()) {
        readTimer_.disarm();
        return;
    }
    readTimer_.expireAfter(stopping_ ? server_->limits().closeGrace : server_->limits().idleTime);
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
            // An error of the handler ends its own exchange only: the response is incomplete, and finish() shows it.
            ++server_->counts_.failedHandlers;
        }
    }
    co_await exchange->finish();
    complete(*exchange);
}

void HttpServerConnection::complete(const HttpServerExchange &exchange)
{
    const bool keepsAlive = exchange.keepsAlive();
    std::erase_if(exchanges_, [&exchange](const auto &item) { return item.get() == &exchange; });
    if (!keepsAlive) {
        stopReading();
    }
    if (!exchanges_.empty()) {
        exchanges_.front()->turnCame();
    } else if (idle_ && reading_) {
        armIdleLimit();
    }
    completed_.cancel();
}

/// Nothing more is read, and nobody waits for the responses that are still due: the caller has gone, or the connection
/// ends after a response, and what was sent behind that one counts as not read.
void HttpServerConnection::stopReading()
{
    reading_ = false;
    // Copied: a callback may complete an exchange.
    const auto exchanges = exchanges_;
    for (const auto &exchange : exchanges) {
        exchange->recordCallerDisconnected();
    }
    error_code ignored;
    socket_.cancel(ignored);
}

asio::awaitable<void> HttpServerConnection::waitForRoom()
{
    while (reading_ && exchanges_.size() >= PipelineDepth) {
        error_code ignored;
        co_await completed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> HttpServerConnection::waitUntilAllAnswered()
{
    while (!exchanges_.empty()) {
        error_code ignored;
        co_await completed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> HttpServerConnection::answerProblem(MessageProblem problem)
{
    ++server_->counts_.refusedRequests;
    unreadRequest_ = true;
    co_await waitUntilAllAnswered();
    co_await answerRefusal(statusOf(problem), "malformed or too large request");
}

asio::awaitable<void> HttpServerConnection::answerRefusal(std::uint16_t status, std::string detail)
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
    timedOut_ = false;
    std::size_t written = 0;
    (void)co_await write(text.value_or(std::string()) + detail, written);
}

/// Ends the connection so that what was written still arrives.
asio::awaitable<void> HttpServerConnection::closeGently()
{
    error_code ignored;
    if (!socket_.is_open() || callerDisconnected_) {
        closeSocket(socket_);
        co_return;
    }
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    readTimer_.expireAfter(LingerTime);
    timedOut_ = false;
    const bool lingers = unreadRequest_ || !buffer_.empty();
    while (lingers && !timedOut_ && socket_.is_open()) {
        buffer_.consume(buffer_.unread().size());
        if (co_await readSome(socket_, buffer_)) {
            break;
        }
    }
    readTimer_.disarm();
    closeSocket(socket_);
}

bool HttpServerConnection::isFirst(const HttpServerExchange &exchange) const
{
    return !exchanges_.empty() && exchanges_.front().get() == &exchange;
}

bool HttpServerConnection::closesAfter(const HttpServerExchange &exchange) const
{
    // Requests that were read behind this one are still answered first.
    const bool isLast = !exchanges_.empty() && exchanges_.back().get() == &exchange;
    return isLast && (stopping_ || server_->leavesCallers());
}

asio::awaitable<error_code> HttpServerConnection::readBodyBytes()
{
    readTimer_.expireAfter(server_->limits().idleTime);
    const error_code error = co_await readSome(socket_, buffer_);
    readTimer_.disarm();
    co_return error;
}

asio::awaitable<error_code> HttpServerConnection::write(std::string data, std::size_t &written)
{
    writeTimer_.expireAfter(server_->limits().idleTime);
    const error_code error = co_await writeAll(socket_, data, written);
    writeTimer_.disarm();
    co_return error;
}

void HttpServerConnection::readTimeExpired()
{
    timedOut_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

/// A caller that takes no byte of its response for so long counts as gone.
void HttpServerConnection::writeTimeExpired()
{
    drop();
}

void HttpServerConnection::recordCallerDisconnected()
{
    callerDisconnected_ = true;
    stopReading();
}

}

#include "http/httpserverconnection.h"

#include <algorithm>
#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/post.hpp>

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
constexpr std::uint16_t InternalErrorStatus = 500;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t VersionStatus = 505;

/// How long a closed connection still takes and drops what the caller sends. Closing with unread bytes would reset the
/// connection, and the caller would lose the answer that says why it was refused.
constexpr Milliseconds LingerTime{1000};

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

bool statusForbidsBody(std::uint16_t status)
{
    constexpr std::uint16_t NoContent = 204;
    constexpr std::uint16_t NotModified = 304;
    return status == NoContent || status == NotModified;
}

Failure gone()
{
    return mayHaveRun(Reason::Cancelled, "the caller went away");
}

}

HttpServerConnection::HttpServerConnection(asio::ip::tcp::socket socket, Endpoint remote,
                                           std::shared_ptr<HttpServerState> server)
    : socket_(std::move(socket))
    , remote_(std::move(remote))
    , server_(std::move(server))
    , buffer_(std::max<std::size_t>(server_->limits().readBufferBytes, server_->limits().headerBytes))
    , timer_(server_->executor(), [this] { timeExpired(); })
    , stopping_(server_->stopping())
{
}

HttpServerConnection::~HttpServerConnection()
{
    server_->removeConnection(this);
}

asio::awaitable<void> HttpServerConnection::run()
{
    const auto self = shared_from_this();
    while (co_await readHead()) {
        co_await serve();
        if (!keepAlive_ || !socket_.is_open()) {
            break;
        }
    }
    co_await closeGently();
}

asio::awaitable<void> HttpServerConnection::refuse()
{
    const auto self = shared_from_this();
    idle_ = false;
    co_await answerRefusal(UnavailableStatus, "too many connections");
    co_await closeGently();
}

void HttpServerConnection::beginStop()
{
    stopping_ = true;
    if (idle_) {
        timer_.expireAfter(server_->limits().closeGrace);
    }
}

void HttpServerConnection::drop()
{
    resetSocket(socket_);
    noteCallerGone();
}

/// Returns whether a request is there to be served.
asio::awaitable<bool> HttpServerConnection::readHead()
{
    const HttpLimits &limits = server_->limits();
    parser_.emplace(limits.headerBytes, limits.bodyBytes);
    idle_ = buffer_.empty();
    timer_.expireAfter(!idle_ ? limits.headerReadTime : stopping_ ? limits.closeGrace : limits.idleTime);
    MessageProblem problem = parser_->feed(buffer_);
    while (problem == MessageProblem::None && !parser_->headDone()) {
        if (co_await readSome(socket_, buffer_)) {
            if (timedOut_ && !idle_) {
                co_await answerRefusal(RequestTimeoutStatus, "the request head took too long");
            }
            co_return false;
        }
        if (std::exchange(idle_, false)) {
            timer_.expireAfter(limits.headerReadTime);
        }
        problem = parser_->feed(buffer_);
    }
    timer_.disarm();
    if (problem != MessageProblem::None) {
        co_await answerProblem(problem);
        co_return false;
    }
    co_return true;
}

asio::awaitable<void> HttpServerConnection::serve()
{
    ++server_->counts_.requests;
    response_ = ResponseState::None;
    bytesOfResponse_ = 0;
    keepAlive_ = parser_->head().keepAlive;
    const auto expectation = parser_->head().headers.find("Expect");
    continueWanted_ = expectation && sameHeaderName(*expectation, "100-continue");
    if (parser_->done()) {
        watchCaller();
    }
    {
        HttpExchange exchange(shared_from_this());
        try {
            co_await server_->handler()(exchange);
        } catch (...) {
            // An error of the handler ends its own exchange only: the response is incomplete, and what follows shows
            // it.
        }
    }
    callerGoneCallback_ = nullptr;
    co_await finishExchange();
    stopWatching();
    buffer_.shrink();
}

/// Makes sure that exactly one complete response was sent, or that the connection shows that it was not.
asio::awaitable<void> HttpServerConnection::finishExchange()
{
    if (response_ == ResponseState::Complete) {
        keepAlive_ = keepAlive_ && parser_->done() && !callerGone_;
        co_return;
    }
    if (!responseBegun() && !callerGone_ && socket_.is_open()) {
        keepAlive_ = false;
        HttpResponseHead head;
        head.status = InternalErrorStatus;
        (void)co_await respond(std::move(head), {});
        co_return;
    }
    abort();
}

asio::awaitable<void> HttpServerConnection::answerProblem(MessageProblem problem)
{
    ++server_->counts_.refusedRequests;
    co_await answerRefusal(statusOf(problem), "malformed or too large request");
}

asio::awaitable<void> HttpServerConnection::answerRefusal(std::uint16_t status, std::string detail)
{
    HttpResponseHead head;
    head.status = status;
    head.headers = server_->limits().refusalHeaders;
    head.headers.add("Content-Type", "text/plain");
    detail += '\n';
    const auto text = writeResponseHead(head, MessageFraming{detail.size(), false, false});
    timedOut_ = false;
    (void)co_await writeOut(text.value_or(std::string()) + detail);
}

/// Ends the connection so that what was written still arrives.
asio::awaitable<void> HttpServerConnection::closeGently()
{
    error_code ignored;
    if (!socket_.is_open() || callerGone_) {
        closeSocket(socket_);
        co_return;
    }
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    timer_.expireAfter(LingerTime);
    timedOut_ = false;
    const bool allRead = parser_ && parser_->done() && buffer_.empty();
    while (!idle_ && !allRead && !timedOut_ && socket_.is_open()) {
        buffer_.consume(buffer_.unread().size());
        if (co_await readSome(socket_, buffer_)) {
            break;
        }
    }
    timer_.disarm();
    closeSocket(socket_);
}

asio::awaitable<Result<std::string>> HttpServerConnection::readBody()
{
    for (;;) {
        std::string body = parser_->takeBody();
        if (!body.empty() || parser_->done()) {
            if (parser_->done() && !callerGone_) {
                watchCaller();
            }
            co_return body;
        }
        if (callerGone_) {
            co_return notRun(Reason::Cancelled, "the caller went away");
        }
        if (std::exchange(continueWanted_, false)) {
            if (auto sent = co_await sendContinue(); !sent) {
                co_return notRun(Reason::Cancelled, "the caller went away");
            }
        }
        beginOperation();
        const error_code error = co_await readSome(socket_, buffer_);
        endOperation();
        if (error) {
            keepAlive_ = false;
            if (timedOut_) {
                co_return notRun(Reason::DeadlinePassed, "the request body stalled");
            }
            noteCallerGone();
            co_return notRun(Reason::Cancelled, "the request body ended early");
        }
        if (const MessageProblem problem = parser_->feed(buffer_); problem != MessageProblem::None) {
            co_return bodyFailure(problem);
        }
    }
}

Result<std::string> HttpServerConnection::bodyFailure(MessageProblem problem)
{
    keepAlive_ = false;
    if (problem == MessageProblem::BodyTooLarge) {
        return notRun(Reason::TooLarge, "the request body is over the limit");
    }
    return notRun(Reason::BadRequest, "the request body is malformed");
}

asio::awaitable<Result<void>> HttpServerConnection::sendContinue()
{
    const auto sent = co_await writeOut("HTTP/1.1 100 Continue\r\n\r\n");
    bytesOfResponse_ = 0; // It is no part of the response.
    co_return sent;
}

/// The response to a HEAD request shows the head that GET would have, without its body.
bool HttpServerConnection::responseCarriesBody(std::uint16_t status) const
{
    return parser_->head().method != "HEAD" && !statusForbidsBody(status);
}

Result<void> HttpServerConnection::prepareResponse(const HttpResponseHead &head, std::optional<std::uint64_t> length)
{
    // What is left of the request would be taken for the next one, so the connection ends after this response.
    keepAlive_ = keepAlive_ && !stopping_ && parser_->done();
    const MessageFraming framing{length, keepAlive_, statusForbidsBody(head.status)};
    auto text = writeResponseHead(head, framing);
    if (!text) {
        return notRun(Reason::BadRequest, "a response head that no message may carry");
    }
    bodiless_ = !responseCarriesBody(head.status);
    remaining_ = length;
    pendingHead_ = std::move(*text);
    response_ = ResponseState::Begun;
    return boost::outcome_v2::success();
}

asio::awaitable<Result<void>> HttpServerConnection::respond(HttpResponseHead head, std::string body)
{
    if (auto prepared = prepareResponse(head, body.size()); !prepared) {
        co_return prepared;
    }
    if (bodiless_) {
        body.clear();
    }
    auto written = co_await writePiece(std::move(body), false);
    if (written) {
        response_ = ResponseState::Complete;
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpServerConnection::beginResponse(HttpResponseHead head,
                                                                  std::optional<std::uint64_t> length)
{
    if (callerGone_) {
        co_return gone();
    }
    co_return prepareResponse(head, length);
}

asio::awaitable<Result<void>> HttpServerConnection::writeBody(std::string chunk)
{
    if (remaining_ && chunk.size() > *remaining_) {
        co_return mayHaveRun(Reason::TooLarge, "more body than announced");
    }
    if (remaining_) {
        *remaining_ -= chunk.size();
    }
    if (chunk.empty() || bodiless_) {
        co_return boost::outcome_v2::success();
    }
    co_return co_await writePiece(std::move(chunk), !remaining_);
}

asio::awaitable<Result<void>> HttpServerConnection::endResponse()
{
    if (remaining_.value_or(0) > 0 && !bodiless_) {
        abort();
        co_return mayHaveRun(Reason::BadAnswer, "less body than announced");
    }
    std::string data = std::exchange(pendingHead_, {});
    if (!remaining_ && !bodiless_) {
        data += writeLastChunk();
    }
    auto written = co_await writeOut(std::move(data));
    if (written) {
        response_ = ResponseState::Complete;
    }
    co_return written;
}

/// Writes a piece of the body, with the head before it if that has not left yet.
asio::awaitable<Result<void>> HttpServerConnection::writePiece(std::string content, bool chunked)
{
    BodyWrites writes = joinBodyPiece(std::exchange(pendingHead_, {}), std::move(content), chunked);
    auto written = co_await writeOut(std::move(writes.first));
    if (written && !writes.second.empty()) {
        written = co_await writeOut(std::move(writes.second));
    }
    co_return written;
}

asio::awaitable<Result<void>> HttpServerConnection::writeOut(std::string data)
{
    if (callerGone_ || !socket_.is_open()) {
        co_return gone();
    }
    beginOperation();
    const error_code error = co_await writeAll(socket_, data, bytesOfResponse_);
    endOperation();
    if (error) {
        noteCallerGone();
        co_return gone();
    }
    co_return boost::outcome_v2::success();
}

void HttpServerConnection::abort()
{
    keepAlive_ = false;
    resetSocket(socket_);
}

void HttpServerConnection::onCallerGone(std::function<void()> callback)
{
    callerGoneCallback_ = std::move(callback);
    if (callerGone_ && callerGoneCallback_) {
        // What is set when the post runs is called: the handler may have replaced or dropped the callback by then.
        asio::post(server_->executor(), [self = shared_from_this()] { self->noteCallerGone(); });
    }
}

void HttpServerConnection::beginOperation()
{
    ++operations_;
    timer_.expireAfter(server_->limits().idleTime);
}

/// A reading and a writing operation may overlap; the limit holds until both have ended.
void HttpServerConnection::endOperation()
{
    if (--operations_ == 0) {
        timer_.disarm();
    }
}

void HttpServerConnection::timeExpired()
{
    timedOut_ = true;
    error_code ignored;
    socket_.cancel(ignored);
}

void HttpServerConnection::noteCallerGone()
{
    keepAlive_ = false;
    callerGone_ = true;
    if (const auto callback = std::exchange(callerGoneCallback_, nullptr)) {
        callback();
    }
}

/// Waits until the socket becomes readable while the handler works: a caller that closes is seen then, and the work
/// for it can be stopped.
void HttpServerConnection::watchCaller()
{
    if (watching_ || !buffer_.empty()) {
        return; // A pipelined request hides the end of the connection.
    }
    watching_ = true;
    const std::uint64_t watch = ++watch_;
    socket_.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_cancellation_slot(watchCancel_.slot(), [self = shared_from_this(), watch](error_code error) {
            self->watchEnded(error, watch);
        }));
}

void HttpServerConnection::stopWatching()
{
    watching_ = false;
    ++watch_;
    watchCancel_.emit(asio::cancellation_type::terminal);
}

void HttpServerConnection::watchEnded(error_code error, std::uint64_t watch)
{
    if (watch != watch_ || error || !socket_.is_open()) {
        return;
    }
    watching_ = false;
    const SocketState state = peekState(socket_);
    if (state == SocketState::Closed) {
        noteCallerGone();
    } else if (state == SocketState::Quiet) {
        watchCaller();
    }
}

}

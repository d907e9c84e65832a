#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httpexchange.h"
#include "http/httphead.h"
#include "http/httpserver.h"
#include "http/messageparser.h"

namespace Egretpath
{

class HttpServerConnection;

/// One request on an accepted connection and the response to it. HttpExchange forwards to this class and documents the
/// contract of its operations.
///
/// A connection has several exchanges at once when its caller pipelines requests. Each exchange waits for its turn
/// before it writes. Thread safety: none.
class HttpServerExchange : public std::enable_shared_from_this<HttpServerExchange>
{
public:
    HttpServerExchange(std::shared_ptr<HttpServerConnection> connection, const HttpLimits &limits);

    [[nodiscard]] RequestParser &parser() { return *parser_; }
    [[nodiscard]] const HttpRequestHead &head() const { return parser_->head(); }
    /// Reads the request by @p limits. Precondition: nothing of it was parsed.
    void setLimits(const HttpLimits &limits);
    /// Whether those limits are not known to be the ones in force.
    [[nodiscard]] bool areSizesProvisional() const { return areSizesProvisional_; }
    [[nodiscard]] const Endpoint &remoteEndpoint() const;
    /// Called once, after the head was read.
    void onHeadRead();

    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    void setBodyDeadline(TimePoint deadline) { bodyDeadline_ = deadline; }
    void endBody(Failure failure);
    void limitUnreadBytes(Bytes size);
    [[nodiscard]] boost::asio::awaitable<Result<void>> respond(HttpResponseHead head, std::string body);
    [[nodiscard]] boost::asio::awaitable<Result<void>> startResponse(HttpResponseHead head,
                                                                     std::optional<std::uint64_t> length);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    [[nodiscard]] boost::asio::awaitable<Result<void>> finishResponse();
    /// Resumes when all earlier responses of the connection are complete, or the caller disconnected.
    [[nodiscard]] boost::asio::awaitable<void> waitForTurn();
    void abort();
    [[nodiscard]] bool hasResponseStarted() const { return responseBytesSent_ > 0; }
    [[nodiscard]] bool callerDisconnected() const { return connectionLoss_ != ConnectionLoss::None; }
    [[nodiscard]] ConnectionLoss connectionLoss() const { return connectionLoss_; }
    void onCallerDisconnected(std::function<void()> callback);

    /// Called after the handler returned. If the response is incomplete, sends a 500 if nothing was sent, and resets
    /// the connection otherwise.
    [[nodiscard]] boost::asio::awaitable<void> finish();
    /// Resumes when the body was read, or the exchange finished without reading it.
    [[nodiscard]] boost::asio::awaitable<void> waitForBody();
    [[nodiscard]] bool isBodyRead() const { return parser_->isDone(); }
    /// Whether the connection may serve another request after this one.
    [[nodiscard]] bool keepAlive() const { return keepAlive_; }
    void recordDisconnected(ConnectionLoss loss);
    /// Called when this exchange has become the first of its connection.
    void onTurn();

private:
    /// The progress of the response.
    enum class ResponseState : std::uint8_t { None, Started, Complete };

    [[nodiscard]] boost::asio::awaitable<Result<void>> writePiece(std::string content, bool chunked);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBytes(std::string data);
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendContinue();
    [[nodiscard]] boost::asio::awaitable<Result<void>> readMore();
    [[nodiscard]] Result<void> bodyFailure(MessageProblem problem);
    [[nodiscard]] Result<void> prepareResponse(const HttpResponseHead &head, std::optional<std::uint64_t> length);
    [[nodiscard]] bool responseCarriesBody(std::uint16_t status) const;
    void signalBodyRead();

    std::shared_ptr<HttpServerConnection> connection_;
    /// Never empty.
    std::optional<RequestParser> parser_;
    bool areSizesProvisional_ = false;
    /// Timers that never expire; cancelled to wake up their waiters when the turn has come or the body was read.
    boost::asio::steady_timer turnSignal_;
    boost::asio::steady_timer bodyReadSignal_;
    std::function<void()> callerDisconnectedCallback_;
    TimePoint bodyDeadline_ = TimePoint::max();
    /// Why the body is not read any more, although its caller may send it.
    std::optional<Failure> bodyEnd_;
    ResponseState response_ = ResponseState::None;
    std::string pendingHead_;
    std::optional<std::uint64_t> remainingBytes_;
    std::size_t responseBytesSent_ = 0;
    bool omitsBody_ = false;
    bool expectsContinue_ = false;
    bool keepAlive_ = true;
    ConnectionLoss connectionLoss_ = ConnectionLoss::None;
    bool isFinished_ = false;
};

}

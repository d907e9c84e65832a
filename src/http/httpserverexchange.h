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
#include "http/httphead.h"
#include "http/messageparser.h"

namespace Egretpath
{

class HttpServerConnection;
struct HttpLimits;

/// One request on an accepted connection and the response to it, whose contract HttpExchange carries.
///
/// A connection has several of them at once when its caller sends requests before the earlier responses; each waits
/// for its turn before it writes. Thread safety: none.
class HttpServerExchange : public std::enable_shared_from_this<HttpServerExchange>
{
public:
    HttpServerExchange(std::shared_ptr<HttpServerConnection> connection, const HttpLimits &limits);

    [[nodiscard]] RequestParser &parser() { return parser_; }
    [[nodiscard]] const HttpRequestHead &head() const { return parser_.head(); }
    [[nodiscard]] const Endpoint &remoteEndpoint() const;
    /// Called once, when the head was read.
    void begin();

    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    [[nodiscard]] boost::asio::awaitable<Result<void>> respond(HttpResponseHead head, std::string body);
    [[nodiscard]] boost::asio::awaitable<Result<void>> beginResponse(HttpResponseHead head,
                                                                     std::optional<std::uint64_t> length);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    [[nodiscard]] boost::asio::awaitable<Result<void>> endResponse();
    /// Resumes when all earlier responses of the connection are complete, or the caller is gone.
    [[nodiscard]] boost::asio::awaitable<void> waitForTurn();
    void abort();
    [[nodiscard]] bool responseBegun() const { return bytesOfResponse_ > 0; }
    [[nodiscard]] bool callerDisconnected() const { return callerDisconnected_; }
    void onCallerDisconnected(std::function<void()> callback);

    /// Makes sure that exactly one complete response was sent, or that the connection shows that it was not.
    [[nodiscard]] boost::asio::awaitable<void> finish();
    /// Resumes when the body was read, or nobody will read it.
    [[nodiscard]] boost::asio::awaitable<void> waitForBody();
    [[nodiscard]] bool bodyRead() const { return parser_.done(); }
    /// Whether the connection may serve another request after this one.
    [[nodiscard]] bool keepsAlive() const { return keepAlive_; }
    void recordCallerDisconnected();
    /// It is now the first of its connection.
    void turnCame();

private:
    /// How far the response has come.
    enum class ResponseState : std::uint8_t { None, Begun, Complete };

    [[nodiscard]] boost::asio::awaitable<Result<void>> writePiece(std::string content, bool chunked);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeOut(std::string data);
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendContinue();
    [[nodiscard]] boost::asio::awaitable<Result<void>> readMore();
    [[nodiscard]] Result<void> bodyFailure(MessageProblem problem);
    [[nodiscard]] Result<void> prepareResponse(const HttpResponseHead &head, std::optional<std::uint64_t> length);
    [[nodiscard]] bool responseCarriesBody(std::uint16_t status) const;
    void noteBodyRead();

    std::shared_ptr<HttpServerConnection> connection_;
    RequestParser parser_;
    /// Never expire; cancelled when what is waited for has come.
    boost::asio::steady_timer turn_;
    boost::asio::steady_timer bodyEnd_;
    std::function<void()> callerDisconnectedCallback_;
    ResponseState response_ = ResponseState::None;
    std::string pendingHead_;
    std::optional<std::uint64_t> remaining_;
    std::size_t bytesOfResponse_ = 0;
    bool bodiless_ = false;
    bool continueWanted_ = false;
    bool keepAlive_ = true;
    bool callerDisconnected_ = false;
    bool finished_ = false;
};

}

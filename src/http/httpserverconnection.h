#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"
#include "http/messageparser.h"
#include "http/readbuffer.h"
#include "http/sockettimer.h"

namespace Egretpath
{

class HttpServerState;

/// One accepted connection: reads requests in turn, runs the handler for each, and writes the responses.
/// The public half below run() serves HttpExchange, whose contract it carries. Thread safety: none.
class HttpServerConnection : public std::enable_shared_from_this<HttpServerConnection>
{
public:
    HttpServerConnection(boost::asio::ip::tcp::socket socket, Endpoint remote, std::shared_ptr<HttpServerState> server);
    ~HttpServerConnection();
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    /// Serves requests until the connection ends.
    [[nodiscard]] boost::asio::awaitable<void> run();
    /// Answers 503 and closes.
    [[nodiscard]] boost::asio::awaitable<void> refuse();
    /// The server stops: the response in progress is the last one, an idle connection ends after the grace time.
    void beginStop();
    /// Closes at once.
    void drop();

    [[nodiscard]] const HttpRequestHead &head() const { return parser_->head(); }
    [[nodiscard]] const Endpoint &remoteEndpoint() const { return remote_; }
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    [[nodiscard]] boost::asio::awaitable<Result<void>> respond(HttpResponseHead head, std::string body);
    [[nodiscard]] boost::asio::awaitable<Result<void>> beginResponse(HttpResponseHead head,
                                                                     std::optional<std::uint64_t> length);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    [[nodiscard]] boost::asio::awaitable<Result<void>> endResponse();
    void abort();
    [[nodiscard]] bool responseBegun() const { return bytesOfResponse_ > 0; }
    [[nodiscard]] bool callerGone() const { return callerGone_; }
    void onCallerGone(std::function<void()> callback);

private:
    /// How far the response of the current exchange has come.
    enum class ResponseState : std::uint8_t { None, Begun, Complete };

    [[nodiscard]] boost::asio::awaitable<bool> readHead();
    [[nodiscard]] boost::asio::awaitable<void> serve();
    [[nodiscard]] boost::asio::awaitable<void> finishExchange();
    [[nodiscard]] boost::asio::awaitable<void> answerProblem(MessageProblem problem);
    [[nodiscard]] boost::asio::awaitable<void> answerRefusal(std::uint16_t status, std::string detail);
    [[nodiscard]] boost::asio::awaitable<void> closeGently();
    [[nodiscard]] boost::asio::awaitable<Result<void>> writePiece(std::string content, bool chunked);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeOut(std::string data);
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendContinue();
    [[nodiscard]] Result<std::string> bodyFailure(MessageProblem problem);
    [[nodiscard]] Result<void> prepareResponse(const HttpResponseHead &head, std::optional<std::uint64_t> length);
    [[nodiscard]] bool responseCarriesBody(std::uint16_t status) const;
    void timeExpired();
    void noteCallerGone();
    void beginOperation();
    void endOperation();
    void watchCaller();
    void stopWatching();
    void watchEnded(boost::system::error_code error, std::uint64_t watch);

    boost::asio::ip::tcp::socket socket_;
    Endpoint remote_;
    std::shared_ptr<HttpServerState> server_;
    ReadBuffer buffer_;
    SocketTimer timer_;
    std::optional<RequestParser> parser_;
    boost::asio::cancellation_signal watchCancel_;
    std::uint64_t watch_ = 0;
    bool watching_ = false;
    std::function<void()> callerGoneCallback_;

    ResponseState response_ = ResponseState::None;
    std::string pendingHead_;
    std::optional<std::uint64_t> remaining_;
    std::size_t bytesOfResponse_ = 0;
    int operations_ = 0;
    bool bodiless_ = false;
    bool continueWanted_ = false;
    bool idle_ = true;
    bool stopping_ = false;
    bool keepAlive_ = true;
    bool timedOut_ = false;
    bool callerGone_ = false;
};

}

#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

class HttpServerExchange;

/// Why an exchange can't answer its caller any more.
enum class ConnectionLoss : std::uint8_t {
    None,
    /// The caller closed the connection, or the network lost it.
    Caller,
    /// An earlier answer closed the connection, so that its caller takes this request for one that was not read.
    EarlierAnswer,
    /// The node reset the connection.
    Reset,
};

/// What @p loss means, for logs. Thread safety: safe.
[[nodiscard]] std::string_view describe(ConnectionLoss loss);

/// One request that the server received, and the response to it.
///
/// Created by HttpServer and valid until the handler returns. At most one read (readBody()) and one write operation may
/// run at a time; a read and a write may overlap. Every awaited operation resumes on the server's executor and is
/// bounded by the server's idle time: a caller that neither sends nor accepts a byte for that long counts as
/// disconnected. If the handler returns without a complete response, the server answers 500 if nothing was sent, and
/// resets the connection otherwise. Thread safety: none; use it on the server's executor only.
class HttpExchange
{
public:
    explicit HttpExchange(std::shared_ptr<HttpServerExchange> exchange);
    ~HttpExchange();
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    [[nodiscard]] const HttpRequestHead &head() const;
    /// The caller's address.
    [[nodiscard]] const Endpoint &remoteEndpoint() const;

    /// Reads the next piece of the request's body, at most HttpLimits::readBufferBytes long; returns an empty piece
    /// once the body is complete. Sends "100 Continue" first if the caller waits for it. Errors: TooLarge over the body
    /// limit, BadRequest for bad chunking, Cancelled if the caller disconnected or the body ended early, DeadlinePassed
    /// if the body stalled or its deadline passed. The verdict is NotRun, since this class doesn't know what the
    /// handler did with earlier pieces; a handler that already forwarded some has to change it to MayHaveRun.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    /// The body has to be complete by @p deadline.
    void setBodyDeadline(TimePoint deadline);
    /// Lets readBody() fail with @p failure, also while it waits. The rest of the body is not read, so that the
    /// connection closes after the response.
    void endBody(Failure failure);
    /// Bounds the bytes of the body that may wait unread in the system. The system rounds and doubles @p size.
    void limitUnreadBytes(Bytes size);

    /// Sends a complete response. Precondition: no response was started.
    /// Errors: Cancelled if the caller disconnected, BadRequest (nothing was sent) for a head that is not valid HTTP
    /// or whose status is not final. The verdict of write errors is MayHaveRun.
    boost::asio::awaitable<Result<void>> respond(HttpResponseHead head, std::string body);

    /// Starts a streamed response of @p length bytes, or a chunked response without @p length. The head is sent with
    /// the first body bytes, or by finishResponse(). Precondition: no response was started. Errors: as respond().
    boost::asio::awaitable<Result<void>> startResponse(HttpResponseHead head, std::optional<std::uint64_t> length);
    /// Sends a piece of the body; returns once the socket has accepted it, so that a slow caller slows the handler
    /// down. Precondition: called between startResponse() and finishResponse(). Errors: as respond(); TooLarge if the
    /// body gets longer than announced.
    boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    /// Finishes the streamed response. Errors: as respond(); BadAnswer if fewer bytes were written than announced, in
    /// which case the connection is reset.
    boost::asio::awaitable<Result<void>> finishResponse();

    /// Resumes when all earlier requests of the connection have their responses, or the caller disconnected.
    ///
    /// Pipelined requests run concurrently. If an earlier response closes the connection, the caller assumes that the
    /// requests after it were not read and sends them again. A request that may run only once must therefore not start
    /// before its turn.
    [[nodiscard]] boost::asio::awaitable<void> waitForTurn();

    /// Resets the connection, so that the caller can't mistake an incomplete response for a complete one.
    void abort();

    /// Whether bytes of the response may have been sent. The response can then only be withdrawn with abort().
    [[nodiscard]] bool hasResponseStarted() const;
    /// Whether the caller closed its side, the connection failed, or an earlier response closed the connection. A
    /// caller that closes only its sending side counts as disconnected. A disconnect is not detected while the socket
    /// holds unread body bytes.
    [[nodiscard]] bool callerDisconnected() const;
    /// Why callerDisconnected() is true; None while it is false.
    [[nodiscard]] ConnectionLoss connectionLoss() const;
    /// Calls @p callback once if callerDisconnected() becomes true before the handler returns. If the caller has
    /// already disconnected, the call is posted at once. Replaces an earlier callback. The callback is removed when the
    /// handler returns.
    void onCallerDisconnected(std::function<void()> callback);

private:
    std::shared_ptr<HttpServerExchange> exchange_;
};

}

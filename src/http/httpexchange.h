#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

class HttpServerExchange;

/// One request at the server and the response to it.
///
/// Made by HttpServer, valid until the handler returns. At most one reading (readBody()) and one writing operation run
/// at a time; a reading and a writing one may overlap. Every awaited operation resumes on the server's executor and is
/// bounded by the server's idle time: a caller that neither sends nor takes a byte for that long counts as gone.
/// A handler that returns without a complete response gets one made: 500 when nothing was sent, else a dropped
/// connection. Thread safety: none; use it on the server's executor only.
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

    /// The next piece of the request's body, at most HttpLimits::readBufferBytes long; empty at its whole end.
    /// Sends "100 Continue" first when the caller waits for it.
    /// Errors: TooLarge over the body limit, BadRequest for bad chunking, Cancelled when the caller went away or the
    /// body ended early, DeadlinePassed when it stalled. Their verdict is NotRun as far as this server knows; a
    /// handler that already passed bytes on has to raise it.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();

    /// Sends a whole response. Precondition: no response was begun.
    /// Errors: Cancelled when the caller went away, BadRequest (nothing was sent) for a head that no message may
    /// carry. The verdict of write errors is MayHaveRun.
    boost::asio::awaitable<Result<void>> respond(HttpResponseHead head, std::string body);

    /// Begins a streamed response of @p length bytes, or a chunked one. The head leaves with the first body bytes, or
    /// with endResponse(). Precondition: no response was begun. Errors: as respond().
    boost::asio::awaitable<Result<void>> beginResponse(HttpResponseHead head, std::optional<std::uint64_t> length);
    /// Sends a piece of the body; returns once the socket took it, so that a slow caller holds the handler back.
    /// Precondition: between beginResponse() and endResponse(). Errors: as respond(); TooLarge beyond the length.
    boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    /// Ends the streamed response. Errors: as respond(); BadAnswer, with the connection dropped, when fewer bytes were
    /// written than announced.
    boost::asio::awaitable<Result<void>> endResponse();

    /// Resumes when all requests that came earlier on the connection have their responses, or the caller is gone.
    ///
    /// Requests sent ahead run beside each other. When an earlier response ends the connection, its caller takes those
    /// behind it for not read and sends them again; a request that may run once must not start before its turn.
    [[nodiscard]] boost::asio::awaitable<void> waitForTurn();

    /// Drops the connection with a reset, so that an incomplete response can never look whole.
    void abort();

    /// Whether bytes of a response may have left; abort() is then the only way to take it back.
    [[nodiscard]] bool responseBegun() const;
    /// Whether the caller closed its side or the connection broke. A caller that closes only its sending side counts
    /// as gone. Not noticed while unread body bytes wait in the socket.
    [[nodiscard]] bool callerDisconnected() const;
    /// Calls @p callback once when the caller goes away before the response is complete; at once (posted) when it
    /// already has. Replaces an earlier callback; it is dropped when the handler returns.
    void onCallerDisconnected(std::function<void()> callback);

private:
    std::shared_ptr<HttpServerExchange> exchange_;
};

}

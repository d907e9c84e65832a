#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

class HttpClientConnection;

/// One request on one connection of a HttpConnectionPool, and the response to it.
///
/// The order is sendHead(), writeBody() as often as needed, finishRequest(), readHead(), readBody() until it is empty.
/// readHead() and readBody() may run beside the writing operations, and also after one of them failed: a server may
/// answer and close before it took the whole request. Every operation ends by the deadline given to open().
///
/// Errors of every operation say NotRun as long as no byte was written and MayHaveRun afterwards; the reason is
/// ConnectionLost, DeadlinePassed, Cancelled (after cancel()), or BadAnswer for a response that is malformed or ended
/// early. After the whole response was read and the request was finished, the destructor gives the connection back for
/// the next call; in every other case it closes the connection. Precondition of the destructor: no operation is
/// awaited. Thread safety: none; use it on the pool's executor.
class HttpClientCall
{
public:
    explicit HttpClientCall(std::shared_ptr<HttpClientConnection> connection);
    ~HttpClientCall();
    HttpClientCall(const HttpClientCall &) = delete;
    HttpClientCall &operator=(const HttpClientCall &) = delete;

    /// Prepares the head; it leaves with the first body bytes, or with finishRequest(). Errors: BadRequest (NotRun)
    /// for a head that no message may carry.
    [[nodiscard]] Result<void> sendHead(const HttpRequestHead &head);
    /// Sends a piece of the body; returns once the socket took it. Precondition: sendHead() succeeded.
    /// Errors: also TooLarge beyond the length that the head announced.
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    /// Ends the request. Errors: also BadRequest when fewer bytes were written than announced; the connection is then
    /// closed.
    [[nodiscard]] boost::asio::awaitable<Result<void>> finishRequest();
    /// All of the above in one write, for a body at hand. It sets the head's contentLength.
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendRequest(HttpRequestHead head, std::string body);

    /// The head of the final response; informational (1xx) ones are skipped. May be called again after a whole response
    /// was read, for the next one on the connection.
    [[nodiscard]] boost::asio::awaitable<Result<HttpResponseHead>> readHead();
    /// The next piece of the body; empty at its whole end. Body bytes that came with the head are at hand at once.
    /// The body of a response without a length is whole when the connection ends in good order; after a reset it is
    /// BadAnswer.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    /// The whole body. Errors: also TooLarge over @p limit.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readCompleteBody(Bytes limit);

    /// Whether a byte of the request left this process: from then on it may run.
    [[nodiscard]] bool firstByteSent() const;
    /// Whether the connection was used by an earlier call.
    [[nodiscard]] bool reused() const;
    /// Closes the connection: a server that watches its callers stops its work. Awaited operations end with Cancelled.
    void cancel();

private:
    std::shared_ptr<HttpClientConnection> connection_;
};

}

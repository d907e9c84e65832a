#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <boost/asio/awaitable.hpp>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httphead.h"

namespace Egretpath
{

class HttpClientConnection;

/// One request on one connection of an HttpConnectionPool, and the response to it.
///
/// The order of calls is sendHead(), writeBody() as often as needed, finishRequest(), readHead(), and readBody() until
/// it returns an empty piece. readHead() and readBody() may run concurrently with the writing operations, and also
/// after a writing operation failed: a server may answer and close before it has read the whole request. Every
/// operation finishes by the deadline given to HttpConnectionPool::open().
///
/// The errors of every operation have the verdict NotRun as long as no byte was written, and MayHaveRun afterwards.
/// The reason is ConnectionLost, DeadlinePassed, Cancelled (after cancel()), or BadAnswer for a response that is
/// malformed or ended early.
///
/// The destructor returns the connection to the pool if the request was finished and the complete response was read.
/// In every other case it closes the connection. Precondition of the destructor: no operation is awaited.
/// Thread safety: none; use it on the pool's executor.
class HttpClientCall
{
public:
    explicit HttpClientCall(std::shared_ptr<HttpClientConnection> connection);
    ~HttpClientCall();
    HttpClientCall(const HttpClientCall &) = delete;
    HttpClientCall &operator=(const HttpClientCall &) = delete;

    /// Prepares the head. It is sent with the first body bytes, or by finishRequest(). Errors: BadRequest (NotRun)
    /// for a head that is not valid HTTP.
    [[nodiscard]] Result<void> sendHead(const HttpRequestHead &head);
    /// Sends a piece of the body; returns once the socket has accepted it. Precondition: sendHead() succeeded.
    /// Errors: also TooLarge if the body gets longer than the head announced.
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    /// Finishes the request. Errors: also BadRequest if fewer bytes were written than the head announced; the
    /// connection is then closed.
    [[nodiscard]] boost::asio::awaitable<Result<void>> finishRequest();
    /// Sends head and body and finishes the request, in one write unless the body is large. Sets the head's
    /// contentLength to the size of @p body.
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendRequest(HttpRequestHead head, std::string body);

    /// As sendRequest(), but copies only a part of @p body at a time, which has to stay valid until the request was
    /// sent.
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendSharedRequest(HttpRequestHead head, std::string_view body);

    /// Reads the head of the final response; informational (1xx) responses are skipped. May be called again after a
    /// complete response was read, for the next response on the connection.
    [[nodiscard]] boost::asio::awaitable<Result<HttpResponseHead>> readHead();
    /// Reads the next piece of the body; returns an empty piece once the body is complete. Body bytes that arrived with
    /// the head are returned at once. The body of a response without a length is complete after an orderly close by the
    /// server; after a reset the error is BadAnswer.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    /// Reads the complete body. Errors: also TooLarge if it is longer than @p maxSize.
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readCompleteBody(Bytes maxSize);

    /// Lets the deadline follow the answer: from now on it is at least @p maxSilence after each arrival of bytes. After
    /// the deadline the event loop makes some more turns, which take 50 ms, so that an answer which arrived while this
    /// process did not get to run is read. For calls whose result is worth waiting for as long as it arrives, however
    /// large it is.
    void waitWhileBytesArrive(Duration maxSilence);
    /// Moves the deadline to @p deadline, for a caller that pauses between two reads.
    void setDeadline(TimePoint deadline);
    /// When bytes of an answer last arrived on this connection.
    [[nodiscard]] TimePoint lastArrival() const;

    /// Whether a byte of the request was sent. From then on the server may run the request.
    [[nodiscard]] bool isFirstByteSent() const;
    /// Whether the connection was used by an earlier call.
    [[nodiscard]] bool isConnectionReused() const;
    /// Resets the connection, so that a server that watches for disconnected callers stops its work. Awaited operations
    /// fail with Cancelled.
    void cancel();

private:
    std::shared_ptr<HttpClientConnection> connection_;
};

}

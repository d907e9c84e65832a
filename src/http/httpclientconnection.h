#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "http/httpconnectionpool.h"
#include "http/httphead.h"
#include "http/messageparser.h"
#include "http/readbuffer.h"
#include "http/sockettimer.h"

namespace Egretpath
{

class HttpConnectionPoolState;

/// One connection to a server. It serves HttpClientCall, whose contract the operations carry. Thread safety: none.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(Endpoint endpoint, const HttpPoolLimits &limits, std::weak_ptr<HttpConnectionPoolState> pool,
                         boost::asio::any_io_executor executor);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Connects by @p deadline, which holds for the first call as well.
    [[nodiscard]] boost::asio::awaitable<Result<void>> connect(boost::asio::ip::tcp::endpoint address,
                                                               TimePoint deadline);
    /// Makes an idle connection ready for the next call.
    void beginCall(TimePoint deadline);
    /// Whether an idle connection is still open and nothing was sent on it unasked.
    [[nodiscard]] bool isUsable();
    /// Begins the idle time; @p expired is called at its end.
    void beginIdle(Duration idleTime, std::function<void()> expired);
    /// Called by the call's destructor: back to the pool, or closed.
    void endCall();
    void close();

    [[nodiscard]] Result<void> sendHead(const HttpRequestHead &head);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    [[nodiscard]] boost::asio::awaitable<Result<void>> finishRequest();
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendRequest(HttpRequestHead head, std::string body);
    [[nodiscard]] boost::asio::awaitable<Result<HttpResponseHead>> readHead();
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    [[nodiscard]] bool firstByteSent() const { return bytesSent_ > 0; }
    [[nodiscard]] bool reused() const { return reused_; }
    void cancel();

    [[nodiscard]] const Endpoint &endpoint() const { return endpoint_; }

private:
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeOut(std::string data);
    [[nodiscard]] boost::asio::awaitable<Result<void>> readMore();
    [[nodiscard]] Failure failure(Reason reason, std::string detail) const;
    [[nodiscard]] Failure socketFailure(const boost::system::error_code &error) const;
    void timeExpired();

    boost::asio::ip::tcp::socket socket_;
    Endpoint endpoint_;
    HttpPoolLimits limits_;
    std::weak_ptr<HttpConnectionPoolState> pool_;
    ReadBuffer buffer_;
    SocketTimer timer_;
    std::function<void()> idleExpired_;
    TimePoint deadline_ = TimePoint::max();

    std::optional<ResponseParser> parser_;
    std::string pendingHead_;
    /// Body bytes that the head announced and that were not written; nothing for a chunked body.
    std::optional<std::uint64_t> remaining_;
    std::size_t bytesSent_ = 0;
    bool headRequest_ = false;
    bool keepAlive_ = true;
    bool requestDone_ = false;
    bool reused_ = false;
    bool cancelled_ = false;
    bool expired_ = false;
};

}

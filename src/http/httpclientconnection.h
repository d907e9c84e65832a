#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

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

/// One connection to a server. HttpClientCall forwards its operations to this class and documents their contract.
/// Thread safety: none.
class HttpClientConnection : public std::enable_shared_from_this<HttpClientConnection>
{
public:
    HttpClientConnection(Endpoint endpoint, const HttpPoolLimits &limits, std::weak_ptr<HttpConnectionPoolState> pool,
                         boost::asio::any_io_executor executor);
    ~HttpClientConnection();
    HttpClientConnection(const HttpClientConnection &) = delete;
    HttpClientConnection &operator=(const HttpClientConnection &) = delete;

    /// Connects by @p deadline, which is also the deadline of the first call.
    [[nodiscard]] boost::asio::awaitable<Result<void>> connect(boost::asio::ip::tcp::endpoint address,
                                                               TimePoint deadline);
    /// Prepares an idle connection for the next call.
    void startCall(TimePoint deadline);
    /// Whether an idle connection is still open and has received no unexpected bytes.
    [[nodiscard]] bool isUsable();
    /// Marks the connection as idle. Calls @p onExpired after @p idleTime, or when bytes or the end of the connection
    /// arrive, unless startCall() comes first.
    void startIdle(Duration idleTime, std::function<void()> onExpired);
    /// Called by the destructor of HttpClientCall: returns the connection to the pool, or closes it.
    void finishCall();
    void close();

    [[nodiscard]] Result<void> sendHead(const HttpRequestHead &head);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBody(std::string chunk);
    [[nodiscard]] boost::asio::awaitable<Result<void>> finishRequest();
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendRequest(HttpRequestHead head, std::string body);
    [[nodiscard]] boost::asio::awaitable<Result<void>> sendSharedRequest(HttpRequestHead head, std::string_view body);
    [[nodiscard]] boost::asio::awaitable<Result<HttpResponseHead>> readHead();
    [[nodiscard]] boost::asio::awaitable<Result<std::string>> readBody();
    [[nodiscard]] bool isFirstByteSent() const { return bytesSent_ > 0; }
    [[nodiscard]] bool isConnectionReused() const { return isReused_; }
    void waitWhileBytesArrive(Duration maxSilence) { maxSilence_ = maxSilence; }
    void setDeadline(TimePoint deadline);
    [[nodiscard]] TimePoint lastArrival() const { return lastArrival_; }
    void cancel();

    [[nodiscard]] const Endpoint &endpoint() const { return endpoint_; }

private:
    void limitUnreadBytes(const boost::asio::ip::tcp &protocol);
    [[nodiscard]] boost::asio::awaitable<Result<void>> writeBytes(std::string data);
    [[nodiscard]] boost::asio::awaitable<Result<void>> readMore();
    /// Whether the end of the connection ends a body without a length.
    [[nodiscard]] bool isOrderlyEnd(const boost::system::error_code &error);
    [[nodiscard]] Failure failure(Reason reason, std::string detail) const;
    [[nodiscard]] Failure socketFailure(const boost::system::error_code &error) const;
    void onTimeout();
    void onIdleInput();
    void endIdleWatch();
    void recordArrival();

    boost::asio::ip::tcp::socket socket_;
    Endpoint endpoint_;
    HttpPoolLimits limits_;
    std::weak_ptr<HttpConnectionPoolState> pool_;
    ReadBuffer buffer_;
    SocketTimer timer_;
    std::function<void()> onIdleExpired_;
    /// Counts the times when the connection becomes idle and when it is used again.
    std::uint64_t idlePeriod_ = 0;
    TimePoint deadline_ = TimePoint::max();
    /// Set if the deadline follows the arrival of bytes.
    std::optional<Duration> maxSilence_;
    /// Turns of the event loop since the deadline of a call that follows its answer.
    unsigned lateTurns_ = 0;
    TimePoint lastArrival_;

    std::optional<ResponseParser> parser_;
    std::string pendingHead_;
    /// Body bytes that the head announced and that were not written yet; std::nullopt for a chunked body.
    std::optional<std::uint64_t> remainingBytes_;
    std::size_t bytesSent_ = 0;
    bool isHeadRequest_ = false;
    bool keepAlive_ = true;
    bool isRequestFinished_ = false;
    bool isReused_ = false;
    bool isCancelled_ = false;
    bool hasTimedOut_ = false;
    /// Whether a write of the call failed. The system reports a reset once, to the write or to the read.
    bool hasWriteFailed_ = false;
};

}

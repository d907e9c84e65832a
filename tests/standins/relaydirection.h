#pragma once

#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "core/clock.h"

namespace Egretpath
{

/// What a relay does to the bytes of its connections. The connections share one object, which may change while they are
/// open.
struct RelayConditions
{
    /// Delay of each direction.
    Duration delay{0};
    /// Limit for each direction of each connection; 0 for no limit.
    std::uint64_t bytesPerSecond = 0;
    /// Whether bytes towards the server are held back. They are delivered when this becomes false.
    bool holdRequests = false;
    /// Whether bytes in both directions are held back, as in a network partition. They are delivered when this becomes
    /// false.
    bool partitioned = false;
};

/// Forwards the bytes of one direction of a relayed connection. Bytes that were read are delivered even after their
/// sender closed the connection; in this way a late copy of a request can arrive. Thread safety: none.
class RelayDirection : public std::enable_shared_from_this<RelayDirection>
{
public:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    RelayDirection(Socket from, Socket to, std::shared_ptr<const RelayConditions> conditions, bool towardsServer);

    /// Starts to forward. The object lives until both its read loop and its write loop have ended.
    void start();
    /// Must be called when the conditions have changed or the connection was reset.
    void wake();

private:
    struct Chunk
    {
        TimePoint due;
        /// Empty at the end of the connection.
        std::string bytes;
    };

    [[nodiscard]] boost::asio::awaitable<void> readLoop();
    [[nodiscard]] boost::asio::awaitable<void> writeLoop();
    [[nodiscard]] boost::asio::awaitable<void> waitUntilDue();
    [[nodiscard]] bool isHeld() const;

    Socket from_;
    Socket to_;
    std::shared_ptr<const RelayConditions> conditions_;
    bool towardsServer_;
    std::deque<Chunk> chunks_;
    std::size_t bufferedBytes_ = 0;
    /// Cancelled when the chunks, the conditions or the sockets change. Expires when the next chunk is due.
    boost::asio::steady_timer changed_;
};

}

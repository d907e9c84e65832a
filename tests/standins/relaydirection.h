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

/// What the relay does to the bytes of all its connections. Shared and changed while they run.
struct RelayConditions
{
    /// One way.
    Duration delay{0};
    /// Of each direction of each connection; 0 for no limit.
    std::uint64_t bytesPerSecond = 0;
    /// Bytes towards the server wait until this ends.
    bool holdRequests = false;
    /// Bytes in both directions wait until this ends, as in a partition that heals.
    bool partitioned = false;
};

/// Carries the bytes of one direction of a relayed connection. Bytes that were taken are delivered even after their
/// sender closed: a late copy of a request arrives so. Thread safety: none.
class RelayDirection : public std::enable_shared_from_this<RelayDirection>
{
public:
    using Socket = std::shared_ptr<boost::asio::ip::tcp::socket>;

    RelayDirection(Socket from, Socket to, std::shared_ptr<const RelayConditions> conditions, bool towardsServer);

    /// Starts to carry; the direction lives until both sides are done.
    void start();
    /// The conditions changed, or the connection was reset.
    void wake();

private:
    struct Piece
    {
        TimePoint due;
        /// Empty for the end of the connection.
        std::string bytes;
    };

    [[nodiscard]] boost::asio::awaitable<void> take();
    [[nodiscard]] boost::asio::awaitable<void> deliver();
    [[nodiscard]] boost::asio::awaitable<void> waitUntilDue();
    [[nodiscard]] bool held() const;

    Socket from_;
    Socket to_;
    std::shared_ptr<const RelayConditions> conditions_;
    bool towardsServer_;
    std::deque<Piece> pieces_;
    std::size_t heldBytes_ = 0;
    boost::asio::steady_timer changed_;
};

}

#pragma once

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"

namespace Egretpath
{

/// A TCP connection on which a test sends arbitrary bytes, valid HTTP or not.
class RawConnection
{
public:
    explicit RawConnection(const boost::asio::any_io_executor &executor);
    explicit RawConnection(boost::asio::ip::tcp::socket socket);

    [[nodiscard]] boost::asio::awaitable<void> connect(Endpoint endpoint);
    [[nodiscard]] boost::asio::awaitable<void> send(std::string bytes);
    /// Returns the bytes that arrive until the other side closes the connection.
    [[nodiscard]] boost::asio::awaitable<std::string> receiveAll();
    /// Returns the next bytes that arrive, at most @p maxBytes; empty once the other side has closed the connection.
    [[nodiscard]] boost::asio::awaitable<std::string> receiveSome(std::size_t maxBytes);
    /// Returns the bytes that arrive until they end with @p end or the other side closes the connection.
    [[nodiscard]] boost::asio::awaitable<std::string> receiveUntil(std::string end);
    void close();
    /// Closes the connection with a reset.
    void reset();

private:
    boost::asio::ip::tcp::socket socket_;
};

/// Listens on a free port and returns the connections that it accepts.
class RawListener
{
public:
    explicit RawListener(const boost::asio::any_io_executor &executor);
    [[nodiscard]] Endpoint endpoint() const;
    [[nodiscard]] boost::asio::awaitable<RawConnection> accept();

private:
    boost::asio::ip::tcp::acceptor acceptor_;
};

}

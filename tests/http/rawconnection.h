#pragma once

#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"

namespace Egretpath
{

/// A TCP connection that sends whatever bytes a test wants, right or wrong.
class RawConnection
{
public:
    explicit RawConnection(const boost::asio::any_io_executor &executor);
    explicit RawConnection(boost::asio::ip::tcp::socket socket);

    [[nodiscard]] boost::asio::awaitable<void> connect(Endpoint endpoint);
    [[nodiscard]] boost::asio::awaitable<void> send(std::string bytes);
    /// What arrives until the other side closes.
    [[nodiscard]] boost::asio::awaitable<std::string> receiveAll();
    /// What arrives until @p end is the last of it, or the other side closes.
    [[nodiscard]] boost::asio::awaitable<std::string> receiveUntil(std::string end);
    void close();
    /// Closes with a reset.
    void reset();

private:
    boost::asio::ip::tcp::socket socket_;
};

/// Listens on a free port and hands out the connections made to it.
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

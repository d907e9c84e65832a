#include "rawconnection.h"

#include <array>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

RawConnection::RawConnection(const asio::any_io_executor &executor)
    : socket_(executor)
{
}

RawConnection::RawConnection(tcp::socket socket)
    : socket_(std::move(socket))
{
}

asio::awaitable<void> RawConnection::connect(Endpoint endpoint)
{
    co_await socket_.async_connect(*toTcpEndpoint(endpoint), asio::use_awaitable);
}

asio::awaitable<void> RawConnection::send(std::string bytes)
{
    boost::system::error_code ignored;
    co_await asio::async_write(socket_, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<std::string> RawConnection::receiveAll()
{
    return receiveUntil({});
}

asio::awaitable<std::string> RawConnection::receiveSome(std::size_t maxBytes)
{
    std::string piece(maxBytes, '\0');
    boost::system::error_code ignored;
    const std::size_t count =
        co_await socket_.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, ignored));
    piece.resize(count);
    co_return piece;
}

asio::awaitable<std::string> RawConnection::receiveUntil(std::string end)
{
    std::string received;
    std::array<char, 4096> piece{};
    boost::system::error_code error;
    while (!error && (end.empty() || !received.ends_with(end))) {
        const std::size_t count =
            co_await socket_.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        received.append(piece.data(), count);
    }
    co_return received;
}

void RawConnection::reset()
{
    socket_.set_option(asio::socket_base::linger(true, 0));
    socket_.close();
}

void RawConnection::close()
{
    socket_.close();
}

RawListener::RawListener(const asio::any_io_executor &executor)
    : acceptor_(executor, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
}

Endpoint RawListener::endpoint() const
{
    return toEndpoint(acceptor_.local_endpoint());
}

asio::awaitable<RawConnection> RawListener::accept()
{
    co_return RawConnection(co_await acceptor_.async_accept(asio::use_awaitable));
}

}

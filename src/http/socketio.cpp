#include "http/socketio.h"

#include <array>

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Egretpath
{

namespace asio = boost::asio;
using boost::system::error_code;

namespace
{

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;

/// Seconds without received bytes before the first keep-alive probe, seconds between probes, and the number of
/// unanswered probes after which the connection is closed.
constexpr int KeepIdleSeconds = 1;
constexpr int KeepIntervalSeconds = 1;
constexpr int KeepProbes = 2;
/// Milliseconds for which sent bytes may stay unacknowledged. This allows several retransmissions on a link that loses
/// packets.
constexpr int UserTimeoutMilliseconds = 2500;

}

void prepareSocket(asio::ip::tcp::socket &socket, SilentPeer silentPeer)
{
    error_code ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(KeepIdleSeconds), ignored);
    socket.set_option(KeepInterval(KeepIntervalSeconds), ignored);
    socket.set_option(KeepCount(KeepProbes), ignored);
    if (silentPeer == SilentPeer::IsReset) {
        socket.set_option(UserTimeout(UserTimeoutMilliseconds), ignored);
    }
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
}

asio::awaitable<error_code> readSome(asio::ip::tcp::socket &socket, ReadBuffer &buffer,
                                     asio::cancellation_slot cancelled)
{
    const std::size_t space = buffer.prepare();
    if (space == 0) {
        co_return asio::error::no_buffer_space;
    }
    error_code error;
    const std::size_t count = co_await socket.async_read_some(
        asio::buffer(buffer.space(), space),
        asio::bind_cancellation_slot(cancelled, asio::redirect_error(asio::use_awaitable, error)));
    buffer.commit(count);
    co_return error;
}

asio::awaitable<error_code> writeAll(asio::ip::tcp::socket &socket, std::string_view data, std::size_t &written,
                                     std::function<void()> onProgress)
{
    error_code error;
    while (!data.empty()) {
        std::size_t count = socket.write_some(asio::buffer(data.data(), data.size()), error);
        if (error == asio::error::would_block) {
            count = co_await socket.async_write_some(asio::buffer(data.data(), data.size()),
                                                     asio::redirect_error(asio::use_awaitable, error));
        }
        written += count;
        if (error) {
            co_return error;
        }
        data.remove_prefix(count);
        if (onProgress) {
            onProgress();
        }
    }
    co_return error;
}

SocketState peekState(asio::ip::tcp::socket &socket)
{
    std::array<char, 1> byte{};
    error_code error;
    const std::size_t count = socket.receive(asio::buffer(byte), asio::socket_base::message_peek, error);
    if (error == asio::error::would_block) {
        return SocketState::Idle;
    }
    return error || count == 0 ? SocketState::Closed : SocketState::Readable;
}

bool wasReset(asio::ip::tcp::socket &socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    const bool isKnown =
        socket.is_open() && ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0;
    return isKnown && info.tcpi_state == TCP_CLOSE;
}

bool hasReceivedBytes(asio::ip::tcp::socket &socket)
{
    error_code error;
    return socket.available(error) > 0 || error.failed();
}

std::size_t unacknowledgedBytes(asio::ip::tcp::socket &socket)
{
    int bytes = 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the system has no other form of this call.
    const bool isKnown = socket.is_open() && ::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) == 0;
    return isKnown && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

asio::awaitable<error_code> waitUntilReadable(asio::ip::tcp::socket &socket, asio::cancellation_slot cancelled)
{
    error_code error;
    co_await socket.async_wait(
        asio::ip::tcp::socket::wait_read,
        asio::bind_cancellation_slot(cancelled, asio::redirect_error(asio::use_awaitable, error)));
    co_return error;
}

bool discardReceived(asio::ip::tcp::socket &socket)
{
    constexpr std::size_t MaxPieces = 64;
    std::array<char, 16384> piece{};
    error_code error;
    for (std::size_t number = 0; number < MaxPieces && !error; ++number) {
        socket.read_some(asio::buffer(piece), error);
    }
    return !error || error == asio::error::would_block;
}

void resetSocket(asio::ip::tcp::socket &socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

void closeSocket(asio::ip::tcp::socket &socket)
{
    error_code ignored;
    socket.close(ignored);
}

}

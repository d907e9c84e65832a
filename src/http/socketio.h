#pragma once

#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/readbuffer.h"

namespace Egretpath
{

/// Makes @p socket ready for use: no delay for small writes, operations that never block the thread, and an end to
/// connections that go silent.
///
/// Guards against connections that a partition or a lost VM leaves open without a reset: nothing more arrives, and
/// whatever is sent waits for the kernel's retransmissions, minutes by default. Keep-alive finds an idle one within
/// three seconds, TCP_USER_TIMEOUT one with unacknowledged bytes, and both end it with an error.
void prepareSocket(boost::asio::ip::tcp::socket &socket);

/// Reads once into @p buffer. Errors: those of the socket; eof at its end; no_buffer_space when the buffer is full.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> readSome(boost::asio::ip::tcp::socket &socket,
                                                                         ReadBuffer &buffer);

/// Writes all of @p data, which has to stay valid. Counts what was written into @p written also when it fails.
/// What the socket takes at once is written without going through the event loop.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> writeAll(boost::asio::ip::tcp::socket &socket,
                                                                         std::string_view data, std::size_t &written);

/// What a socket shows without reading from it.
enum class SocketState : std::uint8_t {
    Quiet,
    /// Bytes wait to be read.
    Readable,
    /// The other side closed, or the connection broke.
    Closed,
};
[[nodiscard]] SocketState peekState(boost::asio::ip::tcp::socket &socket);

/// Closes with a reset instead of an orderly end.
void resetSocket(boost::asio::ip::tcp::socket &socket);
/// Closes. Awaited operations end with operation_aborted.
void closeSocket(boost::asio::ip::tcp::socket &socket);

}

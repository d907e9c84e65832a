#pragma once

#include <functional>
#include <string_view>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "http/readbuffer.h"
#include "http/silentpeer.h"

namespace Egretpath
{

/// Sets the options of @p socket: no delay for small writes, non-blocking operations, and detection of dead
/// connections.
///
/// A network partition or a lost VM leaves connections open without a reset. Nothing more arrives on them, and sent
/// bytes wait for the kernel's retransmissions, which take minutes by default. Keep-alive detects an idle dead
/// connection within three seconds, and TCP_USER_TIMEOUT detects a dead connection with unacknowledged bytes. Both
/// close the connection with an error. The latter also ends a connection whose other side acknowledges all and takes
/// nothing, and is left out for SilentPeer::MayPause.
void prepareSocket(boost::asio::ip::tcp::socket &socket, SilentPeer silentPeer = SilentPeer::IsReset);

/// Reads once into @p buffer. @p cancelled ends the read alone with operation_aborted; a write to the socket goes on.
/// Errors: those of the socket; eof at the end of the stream; no_buffer_space if the buffer is full.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
readSome(boost::asio::ip::tcp::socket &socket, ReadBuffer &buffer, boost::asio::cancellation_slot cancelled = {});

/// Writes all of @p data, which has to stay valid until the write is done. Adds the number of written bytes to
/// @p written, also if the write fails. Bytes that the socket accepts at once are written without going through the
/// event loop. Calls @p onProgress each time the socket has accepted bytes.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code> writeAll(boost::asio::ip::tcp::socket &socket,
                                                                         std::string_view data, std::size_t &written,
                                                                         std::function<void()> onProgress = {});

/// The state of a socket, determined without consuming bytes.
enum class SocketState : std::uint8_t {
    /// Open, with nothing to read.
    Idle,
    /// There are bytes to read.
    Readable,
    /// The other side closed the connection, or the connection failed.
    Closed,
};
[[nodiscard]] SocketState peekState(boost::asio::ip::tcp::socket &socket);

/// Whether the other side has reset the connection; false if the system does not tell. Unlike an error, which goes to
/// the first operation that meets it, this is told again.
[[nodiscard]] bool wasReset(boost::asio::ip::tcp::socket &socket);
/// Whether bytes wait to be read, or the connection has failed.
[[nodiscard]] bool hasReceivedBytes(boost::asio::ip::tcp::socket &socket);
/// The bytes that were written to the socket and not acknowledged by its peer; zero if the system does not tell.
[[nodiscard]] std::size_t unacknowledgedBytes(boost::asio::ip::tcp::socket &socket);
/// Resumes when there are bytes to read, or the connection has ended or failed. Errors: of the wait, also if
/// @p cancelled is used.
[[nodiscard]] boost::asio::awaitable<boost::system::error_code>
waitUntilReadable(boost::asio::ip::tcp::socket &socket, boost::asio::cancellation_slot cancelled);
/// Reads and discards what has arrived, without waiting. Returns whether the connection is open still. Precondition:
/// @p socket is non-blocking.
bool discardReceived(boost::asio::ip::tcp::socket &socket);
/// Closes @p socket with a reset instead of an orderly close.
void resetSocket(boost::asio::ip::tcp::socket &socket);
/// Closes @p socket. Awaited operations fail with operation_aborted.
void closeSocket(boost::asio::ip::tcp::socket &socket);

}

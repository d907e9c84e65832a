#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include "core/clock.h"

namespace Egretpath
{

/// A TCP connection of Asio as the byte stream that Cap'n Proto RPC reads and writes.
///
/// Waits for readiness and then reads or writes without blocking, so that no buffer is lent to a pending operation:
/// a promise that is dropped in the middle leaves nothing behind that could write into freed memory.
///
/// Preconditions: an AsioEventPort lives on this thread. Thread safety: none. Errors: kj::Exception of type
/// DISCONNECTED through the promises.
class AsioStream final : public kj::AsyncIoStream
{
public:
    /// Takes over the connected @p socket. Errors: boost::system::system_error if it can't be made non-blocking.
    explicit AsioStream(boost::asio::ip::tcp::socket socket);
    ~AsioStream() noexcept(false);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    /// Bytes read and written so far; they are the cost of what passes here.
    [[nodiscard]] std::uint64_t bytesTransferred() const { return bytesTransferred_; }
    /// When bytes arrived last; the time of its making before.
    [[nodiscard]] TimePoint lastArrival() const { return lastArrival_; }

private:
    kj::Promise<void> whenReady(boost::asio::ip::tcp::socket::wait_type kind);
    kj::Promise<void> writeAll(std::vector<boost::asio::const_buffer> buffers);
    kj::Promise<size_t> readMore(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t alreadyRead);

    boost::asio::ip::tcp::socket socket_;
    std::uint64_t bytesTransferred_ = 0;
    TimePoint lastArrival_;
};

}

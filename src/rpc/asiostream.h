#pragma once

#include <cstdint>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <kj/async-io.h>

#include "core/clock.h"

namespace Egretpath
{

/// Adapts an Asio TCP connection to the byte stream that Cap'n Proto RPC reads and writes.
///
/// Waits until the socket is ready and then reads or writes without blocking, so that no pending operation refers to a
/// buffer: when a promise is dropped midway, no operation is left that could write into freed memory.
///
/// Preconditions: an AsioEventPort lives on this thread. Thread safety: none. Errors: kj::Exception of type
/// DISCONNECTED through the promises.
class AsioStream final : public kj::AsyncIoStream
{
public:
    /// Takes ownership of the connected @p socket. Errors: boost::system::system_error if it can't be made
    /// non-blocking.
    explicit AsioStream(boost::asio::ip::tcp::socket socket);
    ~AsioStream() noexcept(false);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override;
    void shutdownWrite() override;
    void abortRead() override;

    /// Bytes read and written so far: the cost of the connection on a link that is paid for by volume.
    [[nodiscard]] std::uint64_t bytesTransferred() const { return bytesTransferred_; }
    /// When bytes last arrived; if none have arrived yet, when the stream was created.
    [[nodiscard]] TimePoint lastArrival() const { return lastArrival_; }
    /// Whether the system has not taken all bytes of the last write.
    [[nodiscard]] bool isWriting() const { return isWriting_; }

private:
    kj::Promise<void> whenReady(boost::asio::ip::tcp::socket::wait_type kind);
    kj::Promise<void> writeAll(std::vector<boost::asio::const_buffer> buffers);
    kj::Promise<size_t> readMore(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t alreadyRead);

    boost::asio::ip::tcp::socket socket_;
    std::uint64_t bytesTransferred_ = 0;
    TimePoint lastArrival_;
    bool isWriting_ = false;
};

}

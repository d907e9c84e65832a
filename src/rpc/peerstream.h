#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include <kj/async-io.h>

#include "rpc/asiostream.h"

namespace Egretpath
{

/// How the bytes between two nodes are encoded.
enum class PeerCoding : std::uint8_t {
    Plain = 0,
    /// Both directions are raw deflate streams (RFC 1951), flushed after each message. For links that are paid for by
    /// volume: successive heads of calls and answers are nearly equal, so they compress well.
    Deflate = 1,
};

/// The byte stream of Cap'n Proto RPC between two nodes, in the coding that the connecting node chose.
///
/// The first byte that the connecting node sends is its PeerCoding. The accepting node reads it before it writes, since
/// it only answers. Preconditions: an AsioEventPort lives on this thread; a write begins after the previous one has
/// ended. Thread safety: none. Errors: kj::Exception of type DISCONNECTED through the promises, also for an unknown
/// coding and for bytes that can't be decoded.
class PeerStream final : public kj::AsyncIoStream
{
public:
    /// Creates the connecting side, which chooses @p coding. Errors: those of AsioStream's constructor; std::bad_alloc.
    PeerStream(boost::asio::ip::tcp::socket socket, PeerCoding coding);
    /// Creates the accepting side. Errors: those of AsioStream's constructor.
    explicit PeerStream(boost::asio::ip::tcp::socket socket);
    ~PeerStream() noexcept(false);

    kj::Promise<size_t> tryRead(void *buffer, size_t minBytes, size_t maxBytes) override;
    kj::Promise<void> write(const void *buffer, size_t size) override;
    kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces) override;
    kj::Promise<void> whenWriteDisconnected() override { return socket_.whenWriteDisconnected(); }
    void shutdownWrite() override { socket_.shutdownWrite(); }
    void abortRead() override { socket_.abortRead(); }

    /// Bytes on the wire, that is, after encoding; see AsioStream.
    [[nodiscard]] std::uint64_t bytesTransferred() const { return socket_.bytesTransferred(); }
    [[nodiscard]] TimePoint lastArrival() const { return socket_.lastArrival(); }
    [[nodiscard]] bool isWriting() const { return socket_.isWriting(); }
    /// Number of bytes that the pending read waits for. While a message arrives, the size of its remaining part.
    [[nodiscard]] std::size_t expectedBytes() const { return expectedBytes_; }

private:
    class Deflater;
    class Inflater;

    void setCoding(PeerCoding coding);
    kj::Promise<size_t> readInflated(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t alreadyRead);

    AsioStream socket_;
    std::size_t expectedBytes_ = 0;
    std::optional<PeerCoding> coding_;
    /// Whether the next write has to send the coding first.
    bool shouldSendCoding_ = false;
    std::unique_ptr<Deflater> deflater_;
    std::unique_ptr<Inflater> inflater_;
};

}

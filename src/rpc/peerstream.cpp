#include "rpc/peerstream.h"

#include <array>
#include <new>
#include <utility>

#include <kj/debug.h>
#include <zlib.h>

namespace Egretpath
{

namespace
{

/// The window reaches back across an answer of some KiB to the head of the previous message, since most of a head
/// repeats the head before it.
constexpr int WindowBits = 13;
/// Limits the hash table to 16 KiB, since there is a stream for each node of another region that is called.
constexpr int MemoryLevel = 5;
constexpr std::size_t InputBufferBytes = std::size_t{4} * 1024;
constexpr std::size_t OutputChunkBytes = std::size_t{4} * 1024;

kj::Exception decodingError(const char *problem)
{
    return KJ_EXCEPTION(DISCONNECTED, "connection to a peer", problem);
}

}

/// Encodes messages into bytes on the wire, for one direction of a stream.
class PeerStream::Deflater
{
public:
    Deflater()
    {
        if (deflateInit2(&state_, Z_BEST_SPEED, Z_DEFLATED, -WindowBits, MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK) {
            throw std::bad_alloc();
        }
    }
    ~Deflater() { deflateEnd(&state_); }
    Deflater(const Deflater &) = delete;
    Deflater &operator=(const Deflater &) = delete;

    /// Encodes @p plain and appends it to @p wire. With @p shouldFlush the other side can decode all of it at once.
    void append(kj::ArrayPtr<const kj::byte> plain, bool shouldFlush, std::vector<kj::byte> &wire)
    {
        // zlib declares its input as mutable but does not change it.
        state_.next_in = const_cast<Bytef *>(plain.begin());
        state_.avail_in = static_cast<uInt>(plain.size());
        do {
            const std::size_t oldSize = wire.size();
            wire.resize(oldSize + OutputChunkBytes);
            state_.next_out = wire.data() + oldSize;
            state_.avail_out = static_cast<uInt>(OutputChunkBytes);
            deflate(&state_, shouldFlush ? Z_SYNC_FLUSH : Z_NO_FLUSH);
            wire.resize(wire.size() - state_.avail_out);
        } while (state_.avail_out == 0);
    }

private:
    z_stream state_{};
};

/// Decodes bytes from the wire into messages, for the other direction.
class PeerStream::Inflater
{
public:
    Inflater()
    {
        if (inflateInit2(&state_, -WindowBits) != Z_OK) {
            throw std::bad_alloc();
        }
    }
    ~Inflater() { inflateEnd(&state_); }
    Inflater(const Inflater &) = delete;
    Inflater &operator=(const Inflater &) = delete;

    /// The buffer for the next bytes from the wire. Precondition: all earlier bytes are decoded.
    [[nodiscard]] kj::ArrayPtr<kj::byte> inputBuffer()
    {
        return kj::arrayPtr(inputBuffer_.data(), inputBuffer_.size());
    }
    void setInputSize(std::size_t size)
    {
        state_.next_in = inputBuffer_.data();
        state_.avail_in = static_cast<uInt>(size);
    }

    /// Decodes into @p plain and returns the number of bytes decoded. Errors: kj::Exception for bytes that are no
    /// deflate stream.
    std::size_t decode(kj::ArrayPtr<kj::byte> plain)
    {
        state_.next_out = plain.begin();
        state_.avail_out = static_cast<uInt>(plain.size());
        const int status = inflate(&state_, Z_SYNC_FLUSH);
        if (status != Z_OK && status != Z_BUF_ERROR) {
            kj::throwFatalException(decodingError("bytes that are no deflate stream"));
        }
        return plain.size() - state_.avail_out;
    }

private:
    std::array<kj::byte, InputBufferBytes> inputBuffer_{};
    z_stream state_{};
};

PeerStream::PeerStream(boost::asio::ip::tcp::socket socket, PeerCoding coding)
    : socket_(std::move(socket))
    , shouldSendCoding_(true)
{
    setCoding(coding);
}

PeerStream::PeerStream(boost::asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
{
}

PeerStream::~PeerStream() noexcept(false) = default;

void PeerStream::setCoding(PeerCoding coding)
{
    coding_ = coding;
    if (coding == PeerCoding::Deflate) {
        deflater_ = std::make_unique<Deflater>();
        inflater_ = std::make_unique<Inflater>();
    }
}

kj::Promise<size_t> PeerStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    expectedBytes_ = minBytes;
    if (!coding_) {
        auto codingByte = kj::heap<kj::byte>();
        kj::byte *destination = codingByte.get();
        return socket_.tryRead(destination, 1, 1)
            .then([this, buffer, minBytes, maxBytes,
                   codingByte = kj::mv(codingByte)](size_t count) -> kj::Promise<size_t> {
                if (count == 0) {
                    return size_t{0};
                }
                if (*codingByte > static_cast<kj::byte>(PeerCoding::Deflate)) {
                    return decodingError("an unknown coding");
                }
                setCoding(static_cast<PeerCoding>(*codingByte));
                return tryRead(buffer, minBytes, maxBytes);
            });
    }
    if (!inflater_) {
        return socket_.tryRead(buffer, minBytes, maxBytes);
    }
    return readInflated(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0);
}

kj::Promise<size_t> PeerStream::readInflated(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t alreadyRead)
{
    alreadyRead += inflater_->decode(kj::arrayPtr(buffer + alreadyRead, maxBytes - alreadyRead));
    if (alreadyRead >= minBytes) {
        return alreadyRead;
    }
    auto inputBuffer = inflater_->inputBuffer();
    return socket_.tryRead(inputBuffer.begin(), 1, inputBuffer.size())
        .then([this, buffer, minBytes, maxBytes, alreadyRead](size_t count) -> kj::Promise<size_t> {
            if (count == 0) {
                return alreadyRead;
            }
            inflater_->setInputSize(count);
            return readInflated(buffer, minBytes, maxBytes, alreadyRead);
        });
}

kj::Promise<void> PeerStream::write(const void *buffer, size_t size)
{
    const auto piece = kj::arrayPtr(static_cast<const kj::byte *>(buffer), size);
    return write(kj::arrayPtr(&piece, 1));
}

kj::Promise<void> PeerStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    if (!deflater_ && !shouldSendCoding_) {
        return socket_.write(pieces);
    }
    std::vector<kj::byte> wire;
    if (std::exchange(shouldSendCoding_, false)) {
        wire.push_back(static_cast<kj::byte>(coding_.value_or(PeerCoding::Plain)));
    }
    for (const auto &piece : pieces) {
        const bool isLast = &piece == pieces.end() - 1;
        if (deflater_) {
            deflater_->append(piece, isLast, wire);
        } else {
            wire.insert(wire.end(), piece.begin(), piece.end());
        }
    }
    auto ownedWire = kj::heap<std::vector<kj::byte>>(std::move(wire));
    auto written = socket_.write(ownedWire->data(), ownedWire->size());
    return written.attach(kj::mv(ownedWire));
}

}

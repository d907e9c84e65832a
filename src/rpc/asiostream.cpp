#include "rpc/asiostream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <kj/debug.h>

#include "core/currenttime.h"
#include "http/socketio.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

bool wouldBlock(const boost::system::error_code &error)
{
    return error == asio::error::would_block || error == asio::error::try_again;
}

void consume(std::vector<asio::const_buffer> &buffers, size_t count)
{
    auto first = buffers.begin();
    while (first != buffers.end() && count >= first->size()) {
        count -= first->size();
        ++first;
    }
    if (first != buffers.end()) {
        *first += count;
    }
    buffers.erase(buffers.begin(), first);
}

kj::Exception disconnected(const boost::system::error_code &error)
{
    return KJ_EXCEPTION(DISCONNECTED, "connection to a peer", error.message());
}

}

AsioStream::AsioStream(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
    , lastArrival_(currentTime())
{
    prepareSocket(socket_);
}

AsioStream::~AsioStream() noexcept(false) = default;

kj::Promise<void> AsioStream::whenReady(asio::ip::tcp::socket::wait_type kind)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    // The error of the wait is ignored: the read or write that follows reports the error of the socket.
    socket_.async_wait(kind, [fulfiller = kj::mv(pair.fulfiller)](const boost::system::error_code &) mutable {
        fulfiller->fulfill();
    });
    return kj::mv(pair.promise);
}

kj::Promise<size_t> AsioStream::tryRead(void *buffer, size_t minBytes, size_t maxBytes)
{
    return readMore(static_cast<kj::byte *>(buffer), minBytes, maxBytes, 0);
}

kj::Promise<size_t> AsioStream::readMore(kj::byte *buffer, size_t minBytes, size_t maxBytes, size_t alreadyRead)
{
    while (true) {
        boost::system::error_code error;
        const size_t count = socket_.read_some(asio::buffer(buffer + alreadyRead, maxBytes - alreadyRead), error);
        if (wouldBlock(error)) {
            return whenReady(asio::ip::tcp::socket::wait_read).then([this, buffer, minBytes, maxBytes, alreadyRead] {
                return readMore(buffer, minBytes, maxBytes, alreadyRead);
            });
        }
        if (error == asio::error::eof) {
            return alreadyRead;
        }
        if (error) {
            return disconnected(error);
        }
        alreadyRead += count;
        bytesTransferred_ += count;
        lastArrival_ = currentTime();
        if (alreadyRead >= minBytes) {
            return alreadyRead;
        }
    }
}

kj::Promise<void> AsioStream::write(const void *buffer, size_t size)
{
    return writeAll({asio::const_buffer(buffer, size)});
}

kj::Promise<void> AsioStream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> pieces)
{
    std::vector<asio::const_buffer> buffers;
    buffers.reserve(pieces.size());
    for (const auto &piece : pieces) {
        buffers.emplace_back(piece.begin(), piece.size());
    }
    return writeAll(std::move(buffers));
}

kj::Promise<void> AsioStream::writeAll(std::vector<asio::const_buffer> buffers)
{
    while (asio::buffer_size(buffers) > 0) {
        boost::system::error_code error;
        const size_t count = socket_.write_some(buffers, error);
        isWriting_ = wouldBlock(error);
        if (isWriting_) {
            return whenReady(asio::ip::tcp::socket::wait_write).then([this, rest = std::move(buffers)]() mutable {
                return writeAll(std::move(rest));
            });
        }
        if (error) {
            return disconnected(error);
        }
        bytesTransferred_ += count;
        consume(buffers, count);
    }
    return kj::READY_NOW;
}

kj::Promise<void> AsioStream::whenWriteDisconnected()
{
    return kj::NEVER_DONE;
}

void AsioStream::shutdownWrite()
{
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

void AsioStream::abortRead()
{
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_receive, ignored);
}

}

#include "rpc/wirebodysource.h"

#include <algorithm>
#include <utility>

#include "rpc/kjawait.h"
#include "rpc/wireconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::size_t MaxPiecesAhead = 4;
constexpr std::uint64_t MaxPieceBytes = std::uint64_t{256} * 1024;

}

WireBodySource::WireBodySource(Wire::BodySource::Client source, std::uint64_t size)
    : source_(kj::mv(source))
    , size_(size)
{
}

asio::awaitable<std::optional<std::string>> WireBodySource::next()
{
    while (requested_ < size_ && ahead_.size() < MaxPiecesAhead) {
        requestPiece();
    }
    if (ahead_.empty()) {
        co_return std::string();
    }
    RequestedPiece piece = std::move(ahead_.front());
    ahead_.pop_front();
    PromiseResult<std::string> result = co_await awaitPromise(kj::mv(piece.promise));
    if (!result.value || result.value->size() != piece.size) {
        co_return std::nullopt;
    }
    co_return std::move(*result.value);
}

void WireBodySource::requestPiece()
{
    const std::uint64_t size = std::min(MaxPieceBytes, size_ - requested_);
    auto request = source_.readRequest();
    request.setOffset(requested_);
    request.setSize(static_cast<std::uint32_t>(size));
    auto promise = request.send().then([](auto &&response) { return WireConversion::readBytes(response.getPiece()); });
    ahead_.push_back({kj::mv(promise), size});
    requested_ += size;
}

}

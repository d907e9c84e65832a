#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <kj/async.h>

#include "rpc/generated/peer.capnp.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Reads the body of a call from the ingress. Some pieces are asked for ahead, so that a long link is kept busy.
/// Precondition: an AsioEventPort lives on this thread. Thread safety: none. Errors: see BodySource.
class WireBodySource final : public BodySource
{
public:
    WireBodySource(Wire::BodySource::Client source, std::uint64_t size);
    ~WireBodySource() noexcept override = default;
    WireBodySource(const WireBodySource &) = delete;
    WireBodySource &operator=(const WireBodySource &) = delete;

    [[nodiscard]] std::uint64_t size() const override { return size_; }
    boost::asio::awaitable<std::optional<std::string>> next() override;

private:
    struct RequestedPiece
    {
        kj::Promise<std::string> promise;
        std::uint64_t size;
    };

    void requestPiece();

    Wire::BodySource::Client source_;
    std::uint64_t size_;
    std::uint64_t requested_ = 0;
    std::deque<RequestedPiece> ahead_;
};

}

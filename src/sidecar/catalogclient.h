#pragma once

#include <functional>
#include <utility>

#include <boost/asio/awaitable.hpp>

#include "rpc/peerclient.h"

namespace Egretpath
{

/// Asks other nodes for what they have of the catalog. Thread safety: none. Precondition: the client outlives the
/// object.
class CatalogClient
{
public:
    explicit CatalogClient(PeerClient &peerClient)
        : peerClient_(peerClient)
    {
    }

    /// Calls @p listener with the digest of refused requests in each answer.
    void onQuarantineDigest(std::function<void(const Endpoint &, QuarantineDigest)> listener)
    {
        quarantineListener_ = std::move(listener);
    }
    /// Returns the answer of @p peer with its ages counted up to its arrival. Errors: those of PeerClient::catalog().
    [[nodiscard]] boost::asio::awaitable<Result<Catalog>> ask(Endpoint peer, CatalogRequest request,
                                                              Milliseconds timeout);
    /// Whether a message of @p peer is arriving; see PeerClient::isReceivingLargeMessage().
    [[nodiscard]] bool isReceivingLargeMessage(const Endpoint &peer, Milliseconds within) const
    {
        return peerClient_.isReceivingLargeMessage(peer, within);
    }

private:
    PeerClient &peerClient_;
    std::function<void(const Endpoint &, QuarantineDigest)> quarantineListener_;
};

}

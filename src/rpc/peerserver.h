#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/strongtype.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Accepts connections of other nodes and serves them with a PeerService over Cap'n Proto RPC.
///
/// Preconditions: an AsioEventPort lives on this thread; @p service outlives the server. Thread safety: none.
class PeerServer
{
public:
    /// At most @p connectionCap connections are open at once; further ones are closed at once.
    PeerServer(boost::asio::io_context &context, PeerService &service, std::size_t connectionCap);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts to accept. Errors: boost::system::system_error if the address can't be bound.
    void listen(const Endpoint &endpoint);
    /// Closes the listening socket; connections stay.
    void stopAccepting();
    [[nodiscard]] std::size_t connectionCount() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}

#pragma once

#include <cstdint>
#include <memory>

#include <boost/asio/io_context.hpp>

#include "core/strongtype.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Accepts connections from other nodes and passes their Cap'n Proto RPC calls to a PeerService.
///
/// Preconditions: an AsioEventPort lives on this thread; @p service outlives the server. Thread safety: none.
class PeerServer
{
public:
    /// Keeps at most @p maxConnections connections open and closes further ones as soon as they are accepted.
    PeerServer(boost::asio::io_context &context, PeerService &service, std::size_t maxConnections);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    /// Starts to accept connections on @p endpoint. Errors: boost::system::system_error if the address can't be bound.
    void listen(const Endpoint &endpoint);
    /// Closes the listening sockets; open connections stay.
    void stopAccepting();
    /// Stops accepting, and tells the peers that no call of theirs is run any more. From a connection that ends after
    /// that, they know that calls without an answer were not run. Preconditions: all calls that were run are answered,
    /// and the service refuses all others from now on.
    void announceStop();
    [[nodiscard]] std::size_t connectionCount() const;
    /// Whether a part of an answer has not been handed to the system yet, for example on a slow link.
    [[nodiscard]] bool hasUnsentAnswers() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}

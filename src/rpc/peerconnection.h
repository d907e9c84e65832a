#pragma once

#include <memory>
#include <set>

#include <boost/asio/ip/tcp.hpp>
#include <capnp/rpc-twoparty.h>
#include <kj/async.h>

#include "core/clock.h"
#include "rpc/generated/peer.capnp.h"
#include "rpc/peerstream.h"

namespace Egretpath
{

/// A connection to a peer with its RPC state.
///
/// Preconditions: an AsioEventPort lives on this thread. Thread safety: none. Errors: those of PeerStream.
struct PeerConnection
{
    PeerConnection(boost::asio::ip::tcp::socket socket, PeerCoding coding);

    /// Whether a call has waited for an answer for long while no bytes arrived.
    ///
    /// Detects a connection that stopped delivering without an error, for example because a network device between the
    /// nodes dropped its state. The device may still answer TCP keepalive probes, and each new call on the connection
    /// would wait until its deadline. A slow peer looks the same for a while, so the connection gets no new calls but
    /// is not closed: answers that still arrive on it are accepted.
    [[nodiscard]] bool isSilent(TimePoint now) const;
    /// Whether a large message has been arriving within the last @p maxPause.
    [[nodiscard]] bool isReceivingLargeMessage(TimePoint now, Duration maxPause) const;

    PeerStream stream;
    capnp::TwoPartyVatNetwork network;
    capnp::RpcSystem<capnp::rpc::twoparty::VatId> system;
    Wire::Node::Client node;
    kj::Promise<void> disconnected = nullptr;
    kj::Promise<void> stopNotice = nullptr;
    bool isLost = false;
    /// Whether the peer has told that it runs no call any more. Calls without an answer were not run.
    bool hasPeerStopped = false;
    /// Whether the peer is of a version that takes the body of a call only with its message.
    bool takesWholeBodiesOnly = false;
    TimePoint lastUse;
    /// For each call without an answer, the time from which its answer can be expected.
    std::multiset<TimePoint> answerDueTimes;

private:
    Wire::Node::Client bootstrap();
};

/// Registers a call without an answer on its connection until the object is destroyed. Thread safety: none.
class OpenCall
{
public:
    /// The peer may hold the request for @p wait before it answers; this time does not count as silence.
    explicit OpenCall(std::shared_ptr<PeerConnection> connection, Duration wait = Duration{0});
    ~OpenCall();
    OpenCall(const OpenCall &) = delete;
    OpenCall &operator=(const OpenCall &) = delete;

private:
    std::shared_ptr<PeerConnection> connection_;
    std::multiset<TimePoint>::iterator position_;
};

}

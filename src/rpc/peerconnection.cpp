#include "rpc/peerconnection.h"

#include <algorithm>
#include <utility>

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

/// How long a connection may deliver nothing while a call waits. Longer than a call takes at a busy upstream on a slow
/// VM, and short compared with the timeouts of requests.
constexpr Milliseconds MaxSilence{500};

/// A message of at least this size may take longer to arrive than its receiver waits for an answer.
constexpr std::size_t LargeMessageBytes = std::size_t{4} * 1024;

}

PeerConnection::PeerConnection(boost::asio::ip::tcp::socket socket, PeerCoding coding)
    : stream(std::move(socket), coding)
    , network(stream, capnp::rpc::twoparty::Side::CLIENT)
    , system(capnp::makeRpcClient(network))
    , node(bootstrap())
{
}

Wire::Node::Client PeerConnection::bootstrap()
{
    capnp::MallocMessageBuilder message;
    auto vatId = message.initRoot<capnp::rpc::twoparty::VatId>();
    vatId.setSide(capnp::rpc::twoparty::Side::SERVER);
    return system.bootstrap(vatId).castAs<Wire::Node>();
}

bool PeerConnection::isSilent(TimePoint now) const
{
    if (answerDueTimes.empty()) {
        return false;
    }
    return now - std::max(*answerDueTimes.begin(), stream.lastArrival()) > MaxSilence;
}

bool PeerConnection::isReceivingLargeMessage(TimePoint now, Duration maxPause) const
{
    return stream.expectedBytes() >= LargeMessageBytes && now - stream.lastArrival() < maxPause;
}

OpenCall::OpenCall(std::shared_ptr<PeerConnection> connection, Duration wait)
    : connection_(std::move(connection))
    , position_(connection_->answerDueTimes.insert(currentTime() + wait))
{
}

OpenCall::~OpenCall()
{
    connection_->answerDueTimes.erase(position_);
    connection_->lastUse = currentTime();
}

}

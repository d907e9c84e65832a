#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/verdict.h"
#include "messages/receivedbody.h"
#include "rpc/cancellation.h"
#include "rpc/peermessages.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Calls other nodes over Cap'n Proto RPC. There is one connection to each, and a second for large bodies if needed.
///
/// Cap'n Proto matches answers to their calls by question id, so answers may arrive in any order.
/// Preconditions: an AsioEventPort lives on this thread; each call has a Cancellation of its own. Thread safety: none.
///
/// Errors of all calls, by what is known of the call:
/// - NotRun/ConnectFailed: there was no connection, so nothing was sent.
/// - NotRun/Cancelled: the permit was refused, or the call was cancelled before it was sent.
/// - NotRun/Draining: the peer had told that it runs no call any more before the connection ended.
/// - MayHaveRun/ConnectionLost: the connection broke after the call was queued to it.
/// - MayHaveRun/DeadlinePassed, MayHaveRun/Cancelled: no answer came before the deadline or the cancellation; the
///   peer is asked to cancel the call.
class PeerClient
{
public:
    explicit PeerClient(boost::asio::io_context &context);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Called immediately before a call is queued to its connection, with no suspension in between. Sets the times in
    /// the head. Returns false if the call has ended meanwhile and must not be sent.
    using SendPermit = std::function<bool(CallHead &)>;

    /// A large @p body is sent in pieces, or in one message if the peer is of an earlier version and the message is not
    /// too large; ConnectFailed if it is.
    boost::asio::awaitable<Result<CallOutcome>> call(Endpoint peer, CallHead head, RequestBody body,
                                                     std::shared_ptr<AnswerReceiver> answer, SendPermit permit,
                                                     TimePoint deadline, std::shared_ptr<Cancellation> cancellation);
    boost::asio::awaitable<Result<Catalog>> catalog(Endpoint peer, CatalogRequest request, TimePoint deadline);
    boost::asio::awaitable<Result<QuarantineUpdate>> quarantine(Endpoint peer, QuarantineUpdate update,
                                                                TimePoint deadline);
    boost::asio::awaitable<Result<PeerProbe>> probe(Endpoint peer, TimePoint deadline);

    /// New connections to peers for which @p isPaidLink returns true are compressed, since the link to them is paid for
    /// by volume.
    void setPaidLinks(std::function<bool(const Endpoint &)> isPaidLink);
    /// Closes connections that no call has used for @p idle, and connections that are lost.
    void closeIdle(TimePoint now, Duration idle);
    /// Whether a large message from @p peer is arriving, with no pause of more than @p maxPause until now.
    [[nodiscard]] bool isReceivingLargeMessage(const Endpoint &peer, Duration maxPause) const;
    [[nodiscard]] std::size_t connectionCount() const;
    /// Bytes read and written on all connections since the start.
    [[nodiscard]] std::uint64_t bytesTransferred() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}

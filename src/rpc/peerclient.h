#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "core/clock.h"
#include "core/verdict.h"
#include "rpc/cancellation.h"
#include "rpc/peermessages.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// Calls other nodes over Cap'n Proto RPC, with one connection for each of them.
///
/// Answers are matched to their calls by Cap'n Proto's question numbers, in whichever order they arrive.
/// Preconditions: an AsioEventPort lives on this thread; each call has a Cancellation of its own. Thread safety: none.
///
/// Errors of all calls, honest about what is known:
/// - NotRun/ConnectFailed: there was no connection, so nothing was sent.
/// - NotRun/Cancelled: the permit was refused or the call cancelled before it was sent.
/// - MayHaveRun/ConnectionLost: the connection broke after the call was queued to it.
/// - MayHaveRun/DeadlinePassed, MayHaveRun/Cancelled: nothing was heard by then; the peer is told to cancel.
class PeerClient
{
public:
    explicit PeerClient(boost::asio::io_context &context);
    ~PeerClient();
    PeerClient(const PeerClient &) = delete;
    PeerClient &operator=(const PeerClient &) = delete;

    /// Asked last before a call is queued to its connection, with nothing awaited in between; stamps the head with the
    /// time. False: the call ended meanwhile, nothing may be sent.
    using SendPermit = std::function<bool(CallHead &)>;

    boost::asio::awaitable<Result<CallOutcome>> call(Endpoint peer, CallHead head, std::string body,
                                                     std::shared_ptr<AnswerReceiver> answer, SendPermit permit,
                                                     TimePoint deadline, std::shared_ptr<Cancellation> cancellation);
    boost::asio::awaitable<Result<Catalog>> catalog(Endpoint peer, CatalogRequest request, TimePoint deadline);
    boost::asio::awaitable<Result<QuarantineUpdate>> quarantine(Endpoint peer, QuarantineUpdate update,
                                                                TimePoint deadline);
    boost::asio::awaitable<Result<PeerProbe>> probe(Endpoint peer, TimePoint deadline);

    /// New connections to peers for which @p isPaid returns true are compressed: what crosses to them is paid for by
    /// volume.
    void setPaidLinks(std::function<bool(const Endpoint &)> isPaid);
    /// Closes connections that no call has used for @p idle.
    void closeIdle(TimePoint now, Duration idle);
    [[nodiscard]] std::size_t connectionCount() const;
    /// Bytes read and written on all connections since the start.
    [[nodiscard]] std::uint64_t bytesTransferred() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

}

#pragma once

#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "distribution/exchangemessages.h"
#include "membership/membershipnotice.h"
#include "rpc/cancellation.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// Takes an answer that is too large for one message, in pieces.
///
/// Thread safety: none. A false result means that the receiver is gone and the sender should stop.
class AnswerReceiver
{
public:
    virtual ~AnswerReceiver() = default;
    /// Precondition: called once, first.
    virtual boost::asio::awaitable<bool> begin(AnswerHead head) = 0;
    /// Precondition: begin() returned true. Returns when the receiver can take more.
    virtual boost::asio::awaitable<bool> write(std::string chunk) = 0;
    /// Called only when the whole answer was written.
    virtual boost::asio::awaitable<bool> end() = 0;
};

/// An admitted upload at the egress.
///
/// Thread safety: none.
class UploadReceiver
{
public:
    virtual ~UploadReceiver() = default;
    /// Returns when more can be taken; false when the upload has ended early and outcome() tells how.
    virtual boost::asio::awaitable<bool> write(std::string chunk) = 0;
    /// The body is whole.
    virtual boost::asio::awaitable<void> end() = 0;
    /// How the call ended; called once, at any time.
    virtual boost::asio::awaitable<CallOutcome> outcome() = 0;
    /// The sender is gone before the end; not called after outcome() has returned.
    virtual void abandon() = 0;
};

/// The calls that a node takes from other nodes. The RPC library turns messages into these calls.
///
/// Thread safety: none; called on the thread of the event loop. Errors: in the outcomes.
class CallService
{
public:
    virtual ~CallService() = default;
    [[nodiscard]] virtual NodeIdentity identity() const = 0;
    /// The first message of a connection. @p nextSequence is larger than that of any call which @p peer sent before.
    virtual void hello(NodeIdentity peer, std::uint64_t nextSequence) = 0;
    virtual boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body,
                                                     std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation) = 0;
    virtual PeerProbe probe() = 0;
    /// What this node has of the platform and the asker lacks; nothing by default.
    virtual Catalog catalog(CatalogRequest /*request*/) { return {}; }
};

/// What a node does besides for other nodes: uploads in pieces, and the exchange of tables, lists and notices.
/// Thread safety and errors: as CallService.
class PeerService : public CallService
{
public:
    using Admission = std::variant<std::shared_ptr<UploadReceiver>, CallOutcome>;

    virtual boost::asio::awaitable<Admission> upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation) = 0;
    virtual TableSummary pushTable(UpstreamName sender, ExchangeSubject subject, PushChange push) = 0;
    virtual PullAnswer pullTable(UpstreamName sender, ExchangeSubject subject, PullRequest pull) = 0;
    virtual void notify(UpstreamName sender, std::vector<MembershipNotice> notices) = 0;
    /// The platform's list of VMs as text, as this node has it.
    virtual std::string vmList() = 0;
};

}

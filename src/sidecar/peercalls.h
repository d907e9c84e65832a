#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "egress/egressrole.h"
#include "messages/heldmessages.h"
#include "rpc/peerservice.h"
#include "transfer/linkpacer.h"

namespace Egretpath
{

/// The calls of other nodes to the egress of this one: takes their bodies within the node's memory, and paces their
/// answers.
///
/// Load pattern: large bodies from many ingresses for one wanted upstream. A body is refused before it has travelled
/// if the node has no room for it.
///
/// Preconditions: references outlive the calls. Thread safety: none. Errors: in the outcomes.
class PeerCalls
{
public:
    /// @p linkPacer: null if the rate of the link is not known.
    PeerCalls(EgressRole &egress, std::shared_ptr<HeldMessages> messages, LinkPacer *linkPacer);

    /// See PeerService::call().
    boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation);
    /// See PeerService::callWithBody().
    boost::asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> source,
                                                     std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation);

private:
    boost::asio::awaitable<CallOutcome> run(CallHead head, RequestBody body, std::shared_ptr<AnswerReceiver> answer,
                                            std::shared_ptr<Cancellation> cancellation);
    /// Reads the body. Errors: NotRun; the ingress may send the request elsewhere.
    boost::asio::awaitable<Result<RequestBody>> readBody(const CallHead &head, BodySource &source,
                                                         const Cancellation &cancellation);
    /// The refusal of a body for which this node has no room: another one may have it.
    [[nodiscard]] Failure noRoom() const;

    EgressRole &egress_;
    std::shared_ptr<HeldMessages> messages_;
    LinkPacer *linkPacer_;
};

}

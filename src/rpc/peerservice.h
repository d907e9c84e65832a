#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

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

/// The calls that a node takes from other nodes. The RPC library turns messages into these calls.
///
/// Thread safety: none; called on the thread of the event loop. Errors: in the outcomes.
class PeerService
{
public:
    virtual ~PeerService() = default;
    virtual boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body,
                                                     std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation) = 0;
    virtual PeerProbe probe() = 0;
    /// What this node has of the platform and the asker lacks; see CatalogRequest::wait.
    virtual boost::asio::awaitable<Catalog> catalog(CatalogRequest request) = 0;
    /// Takes what another node knows of requests that end upstreams; returns what this one knows more.
    virtual QuarantineUpdate quarantine(const QuarantineUpdate &update) = 0;
};

}

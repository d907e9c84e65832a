#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "rpc/cancellation.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// Receives an answer that is too large for one message, in pieces.
///
/// Thread safety: none. A false result means that the receiver takes no more, and the sender should stop.
class AnswerReceiver
{
public:
    virtual ~AnswerReceiver() = default;
    /// Receives the head. Precondition: called once, before the other functions.
    virtual boost::asio::awaitable<bool> begin(AnswerHead head) = 0;
    /// Receives the next piece of the body. Returns when the receiver can take more. Precondition: begin() returned
    /// true.
    virtual boost::asio::awaitable<bool> write(std::string chunk) = 0;
    /// Called only after the complete answer was written.
    virtual boost::asio::awaitable<bool> end() = 0;
};

/// The body of a call that is too large for one message. It is read from the ingress, one piece after another.
///
/// Thread safety: none; one call of next() at a time.
class BodySource
{
public:
    virtual ~BodySource() = default;
    /// The size of the whole body.
    [[nodiscard]] virtual std::uint64_t size() const = 0;
    /// Returns the next piece, an empty one after the last; nothing if the ingress is gone.
    virtual boost::asio::awaitable<std::optional<std::string>> next() = 0;
};

/// The calls that a node takes from other nodes. PeerServer turns messages into these calls.
///
/// Thread safety: none; called on the thread of the event loop. Errors: in the outcomes.
class PeerService
{
public:
    virtual ~PeerService() = default;
    virtual boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body,
                                                     std::shared_ptr<AnswerReceiver> answer,
                                                     std::shared_ptr<Cancellation> cancellation) = 0;
    /// As call(), with a body that was not read yet.
    virtual boost::asio::awaitable<CallOutcome> callWithBody(CallHead head, std::shared_ptr<BodySource> body,
                                                             std::shared_ptr<AnswerReceiver> answer,
                                                             std::shared_ptr<Cancellation> cancellation) = 0;
    virtual PeerProbe probe() = 0;
    /// Returns the routes and instances that the requesting node lacks. The answer may wait up to CatalogRequest::wait
    /// for something newer.
    virtual boost::asio::awaitable<Catalog> catalog(CatalogRequest request) = 0;
    /// Takes what another node knows of requests that crash upstreams; returns what this node knows beyond that.
    virtual QuarantineUpdate quarantine(const QuarantineUpdate &update) = 0;
};

}

#pragma once

#include <cstddef>
#include <memory>

#include <boost/asio/any_io_executor.hpp>
#include <kj/async.h>

#include "core/clock.h"
#include "messages/receivedbody.h"
#include "rpc/generated/peer.capnp.h"
#include "rpc/peermessages.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// A larger body travels in pieces, so that neither node needs a second copy of it.
inline constexpr std::size_t MaxMessageBodyBytes = std::size_t{512} * 1024;
/// The largest body for a peer that takes it only with its message. A message may have 64 MiB with its head.
inline constexpr std::size_t MaxWholeBodyBytes = std::size_t{63} * 1024 * 1024;

/// How far the streamed answer to a call has come.
struct AnswerProgress
{
    bool hasChunk = false;
    /// The chunks that the receiver is taking. While there are any, the peer has nothing to do.
    unsigned openChunks = 0;
    TimePoint lastChange;
};

/// One call, with what belongs to it until its answer.
struct OutgoingCall
{
    CallHead head;
    RequestBody body;
    std::shared_ptr<AnswerReceiver> answer;
    std::shared_ptr<AnswerProgress> progress = std::make_shared<AnswerProgress>();
};

/// Sends @p call with its body in the message. Preconditions: an AsioEventPort lives on this thread; what belongs to
/// the call lives until its answer. Thread safety: none. Errors: the promise is rejected.
[[nodiscard]] kj::Promise<CallOutcome>
sendWithBody(Wire::Node::Client &node, const boost::asio::any_io_executor &executor, const OutgoingCall &call);
/// Sends @p call so that the peer asks for its body in pieces. Sets @p isUnknown if the peer is of a version that
/// doesn't know such calls; it has run nothing then. Otherwise as sendWithBody().
[[nodiscard]] kj::Promise<CallOutcome> sendWithSource(Wire::Node::Client &node,
                                                      const boost::asio::any_io_executor &executor,
                                                      const OutgoingCall &call, std::shared_ptr<bool> isUnknown);

}

#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "http/httpconnectionpool.h"
#include "idempotency/atmostonceguard.h"
#include "node/blackboard.h"
#include "node/egressslots.h"
#include "rpc/peerservice.h"

namespace Egretpath
{

/// The egress role: the only way to the upstream beside this node.
///
/// Each call passes the at-most-once guard, the leaving check and the slots, in this order, before its first byte goes
/// to the upstream. Up to there every refusal is a proved not-run; from there on only a whole answer ends the doubt.
///
/// Preconditions: @p board outlives the controller and its calls. Thread safety: none.
class EgressController
{
public:
    EgressController(boost::asio::any_io_executor executor, Blackboard &board);
    ~EgressController();
    EgressController(const EgressController &) = delete;
    EgressController &operator=(const EgressController &) = delete;

    /// See RequestLedger::introduce().
    void introduce(Incarnation ingress, CallSequence nextSequence) { guard_.introduce(ingress, nextSequence); }
    /// See PeerService. The answer's pieces go to @p answer only if it is too large for one message.
    boost::asio::awaitable<CallOutcome> call(CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                                             std::shared_ptr<Cancellation> cancellation);
    boost::asio::awaitable<PeerService::Admission> upload(CallHead head, std::shared_ptr<AnswerReceiver> answer,
                                                          std::shared_ptr<Cancellation> cancellation);

    /// Takes caps and weight from the table in force; call it after a change.
    void tableChanged();
    /// What is told to other nodes.
    [[nodiscard]] LoadReport report() const;
    /// No call waits or runs here.
    [[nodiscard]] bool isIdle() const { return slots_.isIdle() && guard_.openCalls() == 0; }

private:
    friend class EgressCall;

    [[nodiscard]] CallId nextCallId();
    [[nodiscard]] AdmissionCaps capsInForce() const;

    boost::asio::any_io_executor executor_;
    Blackboard &board_;
    AtMostOnceGuard guard_;
    EgressSlots slots_;
    HttpConnectionPool pool_;
    std::uint64_t lastCallId_ = 0;
};

}

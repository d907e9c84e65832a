#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpexchange.h"
#include "idempotency/callstate.h"
#include "node/candidateset.h"
#include "node/ingresscontroller.h"
#include "node/routelog.h"
#include "node/tryevidence.h"
#include "node/trytarget.h"
#include "rpc/cancellation.h"
#include "table/table.h"

namespace Egretpath
{

/// One call at the ingress, from the request to the one answer that its caller gets.
///
/// CallState keeps the promise: nothing is sent after the caller was answered, and not-run is said only if proved.
/// Thread safety: none. Precondition: @p exchange outlives run().
class IngressCall : public std::enable_shared_from_this<IngressCall>
{
public:
    IngressCall(IngressController &controller, HttpExchange &exchange);
    ~IngressCall();
    IngressCall(const IngressCall &) = delete;
    IngressCall &operator=(const IngressCall &) = delete;

    boost::asio::awaitable<void> run();

private:
    friend class CallerAnswer;

    [[nodiscard]] std::optional<Failure> check();
    boost::asio::awaitable<std::optional<Failure>> readFirstPiece();
    /// What may be said of a call that ends before its owner is known.
    [[nodiscard]] Failure refuseUnasked(Failure failure) const;
    boost::asio::awaitable<void> tryUntilEnded();
    /// Whether another try follows; if not, the caller was answered.
    boost::asio::awaitable<bool> evaluate(const TryTarget &target, TryNumber number,
                                          const Result<CallOutcome> &outcome);
    [[nodiscard]] bool mayReplaceAnswer(const WholeAnswer &answer) const;
    [[nodiscard]] bool mayTryAgain(const Failure &failure, const TryTarget &target);

    [[nodiscard]] Result<TryTarget> chooseTarget();
    [[nodiscard]] Result<TryTarget> chooseOwner();
    [[nodiscard]] Result<TryTarget> chooseByLoad();

    boost::asio::awaitable<Result<CallOutcome>> send(TryTarget target, TryNumber number);
    boost::asio::awaitable<Result<CallOutcome>> sendLocally(CallHead head, TryNumber number);
    boost::asio::awaitable<Result<CallOutcome>> sendUpload(TryTarget target, CallHead head, TryNumber number);
    boost::asio::awaitable<void> pumpBody(std::shared_ptr<UploadSender> sender, std::shared_ptr<IngressCall> self);
    boost::asio::awaitable<void> waitForPump();
    [[nodiscard]] std::shared_ptr<AnswerReceiver> receiver(TryNumber number, const NodeIdentity &answerer);
    [[nodiscard]] CallHead makeHead(const TryTarget &target, TryNumber number) const;
    [[nodiscard]] PeerClient::SendPermit permitFor(const UpstreamName &upstream, TryNumber number);

    boost::asio::awaitable<void> answer(const CallOutcome &outcome, TryNumber number);
    void endStreamedAnswer(const Result<CallOutcome> &outcome);
    boost::asio::awaitable<void> finish(std::optional<Failure> failure);
    boost::asio::awaitable<void> respond(Failure failure);
    void decorate(HttpResponseHead &head, const NodeIdentity &answerer);
    boost::asio::awaitable<void> addFreshKey(HttpResponseHead &head);
    void addNextKey(HttpResponseHead &head, const NodeIdentity &answerer);

    void count(Verdict verdict, Reason reason);

    IngressController &controller_;
    Blackboard &board_;
    HttpExchange &exchange_;
    std::uint64_t sequence_;
    RequestId requestId_;
    ServiceName service_;
    TryEvidence evidence_;
    RouteLog decisions_;
    TablePointer table_;
    const ServicePolicy *policy_ = nullptr;
    std::string key_;
    TimePoint arrival_;
    TimePoint deadline_;
    std::optional<CallState> state_;
    std::shared_ptr<Cancellation> cancellation_;
    std::string firstPiece_;
    bool bodyWhole_ = false;
    /// Pieces behind the first one were taken from the caller; the body can't be sent a second time.
    bool bodyConsumed_ = false;
    /// The body grew over the service's cap while it was passed on.
    bool bodyTooLarge_ = false;
    bool pumping_ = false;
    /// Cancelled at the end of the pump.
    boost::asio::steady_timer pumpEnd_;
    std::vector<UpstreamName> tried_;
    TimePoint sentAt_;
    /// The current try left.
    bool sent_ = false;
    /// A streamed answer reached its end.
    bool answerWhole_ = false;
    /// run() has returned, or is about to; exchange_ must not be used any more.
    bool ended_ = false;
};

}

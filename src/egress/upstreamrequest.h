#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "egress/egressrole.h"
#include "http/httpclientcall.h"
#include "quarantine/lazyfingerprint.h"

namespace Egretpath
{

/// One request at the egress, from its arrival to its outcome.
///
/// Thread safety: none. Precondition: the role outlives run(). Only a request that is destroyed together with the event
/// loop, before run() has ended, may outlive the role.
class UpstreamRequest : public std::enable_shared_from_this<UpstreamRequest>
{
public:
    UpstreamRequest(EgressRole &role, CallHead head, std::string body, std::shared_ptr<AnswerReceiver> answer,
                    std::shared_ptr<Cancellation> cancellation);
    ~UpstreamRequest();
    UpstreamRequest(const UpstreamRequest &) = delete;
    UpstreamRequest &operator=(const UpstreamRequest &) = delete;

    boost::asio::awaitable<CallOutcome> run();
    /// Stops waiting for the upstream's answer and ends the request with @p failure. Precondition: the request was
    /// handed over to the upstream.
    void abort(Failure failure);
    /// Returns why the request is refused because it crashes upstreams, or nothing if it may run.
    [[nodiscard]] std::optional<Failure> quarantineRejection();

private:
    /// Returns the offer of this request to the work queue.
    [[nodiscard]] WorkOffer makeOffer() const;
    /// Takes a slot. Returns why the request ends here, or nothing if it has a slot.
    boost::asio::awaitable<std::optional<Failure>> admit();
    /// How long the request can wait for its turn if the rate of the upstream is limited.
    [[nodiscard]] Duration maxTurnWait(const WorkOffer &offer) const;
    /// If the rate of the upstream is limited, takes a turn and waits until it is due. Returns why the request gets
    /// none, or why it must not be handed over any more.
    boost::asio::awaitable<std::optional<Failure>> waitForTurn(const WorkOffer &offer);
    /// Returns why the request is refused because the calls that it makes would find no place, or nothing.
    [[nodiscard]] std::optional<Failure> parentRejection();
    /// Returns @p failure with a reason that the ingress knows.
    [[nodiscard]] Failure readableByIngress(Failure failure) const;
    /// Returns why the request must not be handed over to the upstream now, or nothing if it may be.
    [[nodiscard]] std::optional<Failure> handOverRejection();
    /// Connects to the upstream, sends the request and reads the answer.
    boost::asio::awaitable<Result<CallOutcome>> connectAndExchange(HttpConnectionChoice choice);
    boost::asio::awaitable<std::optional<Failure>> connect(HttpConnectionChoice choice);
    /// Sends the request and reads its answer on one connection.
    boost::asio::awaitable<Result<CallOutcome>> exchange();
    boost::asio::awaitable<Result<CallOutcome>> readAnswer();
    boost::asio::awaitable<Result<CallOutcome>> streamAnswer(HttpResponseHead head, std::string firstPiece);
    boost::asio::awaitable<void> writeRequest(std::shared_ptr<UpstreamRequest> self);
    boost::asio::awaitable<void> stopWriting();
    [[nodiscard]] Result<CallOutcome> evaluateAnswer(HttpResponseHead head, std::string body,
                                                     const UpstreamAnswerMetadata &metadata);
    [[nodiscard]] bool mayResend(const Failure &failure) const;

    [[nodiscard]] HttpRequestHead makeUpstreamHead() const;
    [[nodiscard]] CallOutcome outcome(std::variant<Failure, CompleteAnswer, StreamedAnswer> result) const;
    /// The request is tracked while the upstream has it: in the role's account, among the role's requests at the
    /// upstream, and by the overdue timer. @p answered: the tracking ends because the answer began.
    void beginTracking();
    void endTracking(bool answered);
    [[nodiscard]] RequestContent content() const;
    /// Starts the timer that informs the role when the upstream takes much longer than expected.
    void startOverdueTimer();
    void releaseSlot(bool answered);
    void logEnd(const CallOutcome &ended) const;

    EgressRole &role_;
    std::weak_ptr<const EgressRole::LifetimeToken> roleLifetime_;
    CallHead head_;
    std::string body_;
    std::shared_ptr<AnswerReceiver> answerReceiver_;
    std::shared_ptr<Cancellation> cancellation_;
    CallId callId_;
    LazyFingerprint fingerprint_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    TimePoint targetTime_;
    TimePoint handedOverAt_;
    std::unique_ptr<HttpClientCall> httpCall_;
    /// Never expires. It is cancelled when the request was written or writing failed.
    boost::asio::steady_timer writeFinished_;
    /// Expires when the upstream takes much longer than expected.
    boost::asio::steady_timer overdueTimer_;
    bool holdsSlot_ = false;
    /// Whether the request has a turn that it has not used yet; see UpstreamRate.
    bool hasTurn_ = false;
    bool isWriting_ = false;
    bool isAtUpstream_ = false;
    bool isOverdue_ = false;
    /// Why the node itself ended the request at the upstream.
    std::optional<Failure> abortFailure_;
};

}

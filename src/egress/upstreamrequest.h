#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "egress/answerreader.h"
#include "egress/egressrole.h"
#include "egress/requesttracking.h"
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
    UpstreamRequest(EgressRole &role, CallHead head, RequestBody body, std::shared_ptr<AnswerReceiver> answer,
                    std::shared_ptr<Cancellation> cancellation);
    ~UpstreamRequest();
    UpstreamRequest(const UpstreamRequest &) = delete;
    UpstreamRequest &operator=(const UpstreamRequest &) = delete;

    boost::asio::awaitable<CallOutcome> run();
    /// Stops waiting for the upstream's answer and ends the request with @p failure. Precondition: the request was
    /// handed over to the upstream.
    void abort(Failure failure);
    /// Writes a log line that says that the process ends before the request. @p state: where the request is.
    void logCut(std::string_view state) const;
    /// Returns why the request is refused because it crashes upstreams, or nothing if it may run.
    [[nodiscard]] std::optional<Failure> quarantineRejection();

private:
    /// Returns the offer of this request to the work queue.
    [[nodiscard]] WorkOffer makeOffer() const;
    /// Takes a slot. Returns why the request ends here, or nothing if it has a slot.
    boost::asio::awaitable<std::optional<Failure>> admit();
    [[nodiscard]] TurnRequest makeTurnRequest(const WorkOffer &offer) const;
    /// If the rate of the upstream is limited, takes a turn and waits until it is due. Returns why the request gets
    /// none, or why it must not be handed over any more.
    boost::asio::awaitable<std::optional<Failure>> waitForTurn(const WorkOffer &offer);
    /// Returns why the request is refused because the calls that it makes would find no place, or nothing.
    [[nodiscard]] std::optional<Failure> parentRejection();
    /// Returns why the request is refused since the node stops, or nothing.
    [[nodiscard]] std::optional<Failure> stopRejection() const;
    /// Returns why the request must not be handed over to the upstream now, or nothing if it may be.
    [[nodiscard]] std::optional<Failure> handOverRejection();
    /// Connects to the upstream, sends the request and reads the answer.
    boost::asio::awaitable<Result<CallOutcome>> connectAndExchange(HttpConnectionChoice choice);
    boost::asio::awaitable<std::optional<Failure>> connect(HttpConnectionChoice choice);
    /// Sends the request and reads its answer on one connection.
    boost::asio::awaitable<Result<CallOutcome>> exchange();
    /// Returns the answer that was read; if it is streamed, after the ingress has taken it.
    boost::asio::awaitable<Result<CallOutcome>> passOn(ReadAnswer answer);
    boost::asio::awaitable<void> writeRequest(std::shared_ptr<UpstreamRequest> self);
    boost::asio::awaitable<void> stopWriting();
    /// Whether the failure is the end of a connection that earlier requests had used.
    [[nodiscard]] bool isKeptConnectionLost(const Failure &failure) const;

    [[nodiscard]] CallOutcome outcome(std::variant<Failure, CompleteAnswer, StreamedAnswer> result) const;
    [[nodiscard]] RequestContent content() const;
    void releaseSlot(bool answered);
    void logEnd(const CallOutcome &ended) const;

    EgressRole &role_;
    std::weak_ptr<const EgressRole::LifetimeToken> roleLifetime_;
    CallHead head_;
    RequestBody body_;
    std::shared_ptr<AnswerReceiver> answerReceiver_;
    std::shared_ptr<Cancellation> cancellation_;
    CallId callId_;
    LazyFingerprint fingerprint_;
    TimePoint arrivedAt_;
    TimePoint deadline_;
    TimePoint targetTime_;
    TimePoint handedOverAt_;
    std::unique_ptr<HttpClientCall> httpCall_;
    std::unique_ptr<AnswerReader> answerReader_;
    RequestTracking tracking_;
    /// Never expires. It is cancelled when the request was written or writing failed.
    boost::asio::steady_timer writeFinished_;
    bool holdsSlot_ = false;
    /// Whether the route of the request is one of downloads.
    bool isDownload_ = false;
    /// Whether the request counts as a download under way; see EgressRole::downloadRejection().
    bool countsAsDownload_ = false;
    /// Whether the answer was read, and the ingress has not taken all of it.
    bool isPassingOn_ = false;
    /// Whether its slot is above the upstream's fill limit; see UpstreamSlots.
    bool startedAboveLimit_ = false;
    /// How long the request waited for a turn; nothing if it needed none.
    std::optional<Duration> turnWait_;
    /// Whether the request has a turn that it has not used yet; see UpstreamTurns.
    bool hasTurn_ = false;
    bool isWriting_ = false;
    /// Why the node itself ended the request at the upstream.
    std::optional<Failure> abortFailure_;
};

}

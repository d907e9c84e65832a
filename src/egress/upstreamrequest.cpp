#include "egress/upstreamrequest.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/bootclock.h"
#include "core/currenttime.h"
#include "core/durations.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Answers up to this size are sent in one message, larger answers in pieces.
constexpr std::size_t MaxCompleteAnswer = std::size_t{1024} * 1024;
constexpr Milliseconds DrainingRetryAfter{50};
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t GatewayTimeoutStatus = 504;
constexpr double Percent = 100.0;
/// A request is overdue after this many times the time expected for it: its baseline time multiplied by the VM's
/// slowdown. Hardly any work takes so long.
constexpr double OverdueFactor = 2.5;
constexpr Milliseconds MinOverdueTime{150};
/// A request waits for its turn at an upstream with a limited rate for up to this part of the time left.
constexpr int DependentWaitDivisor = 3;
constexpr int WaitDivisor = 8;

/// Whether the upstream, not this node, ended the connection.
bool upstreamDisconnected(const Failure &failure)
{
    return failure.reason == Reason::ConnectionLost || failure.reason == Reason::BadAnswer;
}

}

UpstreamRequest::UpstreamRequest(EgressRole &role, CallHead head, std::string body,
                                 std::shared_ptr<AnswerReceiver> answer, std::shared_ptr<Cancellation> cancellation)
    : role_(role)
    , roleLifetime_(role.lifetimeToken_)
    , head_(std::move(head))
    , body_(std::move(body))
    , answerReceiver_(std::move(answer))
    , cancellation_(std::move(cancellation))
    , callId_(role.nextCallId())
    , arrivedAt_(currentTime())
    , writeFinished_(role.executor_, asio::steady_timer::time_point::max())
    , overdueTimer_(role.executor_)
{
}

UpstreamRequest::~UpstreamRequest()
{
    if (!roleLifetime_.expired()) {
        role_.waitingRequests_.erase(callId_);
        endTracking(false);
        releaseSlot(false);
    }
}

void UpstreamRequest::abort(Failure failure)
{
    abortFailure_ = std::move(failure);
    httpCall_->cancel();
}

void UpstreamRequest::beginTracking()
{
    isAtUpstream_ = true;
    role_.account_.onStarted(callId_);
    role_.requestsAtUpstream_.emplace(callId_, this);
    role_.calls_.onStarted(callId_, head_.route, head_.priority, deadline_, currentTime());
    startOverdueTimer();
}

void UpstreamRequest::endTracking(bool answered)
{
    if (!std::exchange(isAtUpstream_, false)) {
        return;
    }
    answered ? role_.account_.onAnswered(callId_) : role_.account_.onGivenUp(callId_);
    role_.requestsAtUpstream_.erase(callId_);
    role_.calls_.onEnded(callId_);
    overdueTimer_.cancel();
    if (std::exchange(isOverdue_, false)) {
        --role_.overdueCount_;
    }
}

void UpstreamRequest::startOverdueTimer()
{
    const LoadReport report = role_.report(head_.route);
    const double slowdown = std::max(report.slowdownPercent / Percent, 1.0);
    const Duration expectedTime = scaled(Microseconds(report.serviceTimeMicroseconds), slowdown);
    overdueTimer_.expires_after(std::max<Duration>(scaled(expectedTime, OverdueFactor), MinOverdueTime));
    overdueTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto request = weak.lock();
        if (!error && request && request->isAtUpstream_) {
            request->isOverdue_ = true;
            request->role_.recordOverdue();
        }
    });
}

asio::awaitable<CallOutcome> UpstreamRequest::run()
{
    const auto self = shared_from_this();
    if (auto rejection = co_await admit()) {
        CallOutcome ended = outcome(readableByIngress(std::move(*rejection)));
        logEnd(ended);
        co_return ended;
    }
    Result<CallOutcome> result =
        co_await connectAndExchange(head_.isRepeatable ? HttpConnectionChoice::Pooled : HttpConnectionChoice::Fresh);
    if (!result && mayResend(result.error())) {
        // The upstream closed the idle connection while the request was being sent. No answer came, and the request may
        // run more than once, so it is sent again. This can't happen on a new connection.
        result = co_await connectAndExchange(HttpConnectionChoice::Fresh);
        if (!result) {
            Failure failure = result.error();
            failure.verdict = Verdict::MayHaveRun;
            result = std::move(failure);
        }
    }
    cancellation_->clearAction();
    CallOutcome ended = result ? std::move(result).value() : outcome(readableByIngress(result.error()));
    const auto *failure = std::get_if<Failure>(&ended.result);
    releaseSlot(failure == nullptr);
    logEnd(ended);
    co_return ended;
}

asio::awaitable<std::optional<Failure>> UpstreamRequest::admit()
{
    // A request that waited on a stalled link or in a paused process has less time left than its head says.
    const TimePoint bootNow{std::chrono::duration_cast<Duration>(timeSinceBoot())};
    const Duration delay = role_.latenessGuard_.observe(head_.ingress.incarnation, head_.sentAt, bootNow);
    role_.recordArrival(delay);
    deadline_ = arrivedAt_ + head_.remaining - delay;
    if (deadline_ <= arrivedAt_) {
        co_return notRun(Reason::DeadlinePassed, "the request was too long on its way");
    }
    targetTime_ = arrivedAt_ + head_.targetLatencyLeft - delay;
    if (head_.isDependent) {
        role_.dependentRoutes_.record(head_.callerService, head_.route, head_.ingress, arrivedAt_);
    }
    if (role_.isDraining_) {
        co_return notRun(Reason::Draining, "the node beside the upstream stops", DrainingRetryAfter);
    }
    if (auto rejection = role_.locationRejection(head_)) {
        co_return rejection;
    }
    co_await role_.refreshUpstreamState();
    if (auto rejection = handOverRejection()) {
        co_return rejection;
    }
    if (auto rejection = parentRejection()) {
        co_return rejection;
    }
    role_.updateFailureShare();
    const WorkOffer offer = makeOffer();
    if (auto rejection = role_.rate_.rejection(maxTurnWait(offer))) {
        co_return rejection;
    }
    if (head_.dryRun) {
        co_return role_.slots_.queue()
            .rejection(offer, currentTime())
            .value_or(notRun(Reason::None, "it would be taken"));
    }
    if (auto rejection = co_await waitForTurn(offer)) {
        co_return rejection;
    }
    role_.waitingRequests_.emplace(callId_, this);
    std::optional<Failure> rejection = co_await role_.slots_.acquire(offer, head_.targetUpstream, cancellation_);
    role_.waitingRequests_.erase(callId_);
    holdsSlot_ = !rejection;
    co_return rejection;
}

std::optional<Failure> UpstreamRequest::parentRejection()
{
    // A dry run is not a probe: nothing runs, so it makes no calls.
    const bool isRefused = head_.dryRun ? role_.calls_.wouldRefuse(head_.route, currentTime())
                                        : role_.calls_.refuses(head_.route, currentTime());
    if (!isRefused) {
        return std::nullopt;
    }
    std::string labels = "route=\"";
    labels.append(head_.route.value()).append("\"");
    role_.metrics_.count("egretpath_parents_refused_total", labels);
    return notRun(Reason::Overloaded, "its calls find no place");
}

/// Load pattern: all upstreams of a service are cold after a loss of power, and take a part of what they are asked for.
/// A call of another upstream, whose work is lost without an answer, waits longer for a turn than a request whose
/// caller may come back, so that few of the latter get turns while there are many of the former. A request that is late
/// already, or would be answered sooner elsewhere, waits for none.
Duration UpstreamRequest::maxTurnWait(const WorkOffer &offer) const
{
    const TimePoint now = currentTime();
    // The deadline of such a caller is its target: to it, a late answer is worth no more than none.
    const bool isDependent = head_.isDependent || targetTime_ >= deadline_;
    Duration wait = isDependent ? (deadline_ - now) / DependentWaitDivisor : (targetTime_ - now) / WaitDivisor;
    if (offer.declineThreshold > Duration{0}) {
        wait = std::min(wait, offer.declineThreshold - role_.slots_.queue().expected(offer, now));
    }
    return std::max(wait, Duration{0});
}

/// A turn is taken only if the request would get a slot, so that none is lost.
asio::awaitable<std::optional<Failure>> UpstreamRequest::waitForTurn(const WorkOffer &offer)
{
    if (!role_.rate_.isLimited()) {
        co_return std::nullopt;
    }
    if (auto rejection = role_.slots_.queue().rejection(offer, currentTime())) {
        co_return rejection;
    }
    const TimePoint due = role_.rate_.takeTurn();
    hasTurn_ = true;
    if (due <= currentTime()) {
        co_return std::nullopt;
    }
    const auto timer = std::make_shared<asio::steady_timer>(role_.executor_, due);
    cancellation_->setAction([timer] { timer->cancel(); });
    boost::system::error_code ignored;
    co_await timer->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    cancellation_->clearAction();
    if (cancellation_->isCancelled()) {
        co_return notRun(Reason::Cancelled, "cancelled before it was handed over");
    }
    co_return handOverRejection();
}

WorkOffer UpstreamRequest::makeOffer() const
{
    WorkOffer offer;
    offer.call = callId_;
    offer.route = head_.route;
    offer.priority = head_.priority;
    offer.deadline = deadline_;
    offer.target = targetTime_;
    offer.declineThreshold = head_.declineThreshold;
    offer.disconnectedUpstream = head_.disconnectedUpstream;
    return offer;
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::connectAndExchange(HttpConnectionChoice choice)
{
    // Not a conditional expression: g++ 12 destroys the temporaries of a co_await in one of its branches twice.
    if (auto connectFailure = co_await connect(choice)) {
        co_return std::move(*connectFailure);
    }
    co_return co_await exchange();
}

asio::awaitable<std::optional<Failure>> UpstreamRequest::connect(HttpConnectionChoice choice)
{
    // A request that may run only once gets a new connection. The upstream may be closing a pooled connection at this
    // moment, and after such a failure it would be unknown whether the request ran.
    httpCall_.reset();
    auto opened = co_await role_.pool_.open(role_.settings_.upstream, deadline_, choice);
    if (!opened) {
        co_return opened.error();
    }
    if (cancellation_->isCancelled()) {
        co_return notRun(Reason::Cancelled, "cancelled before it was handed over");
    }
    // A process that was paused here may resume after the deadline and must not hand the request over then.
    if (currentTime() >= deadline_) {
        co_return notRun(Reason::DeadlinePassed, "deadline passed before it was handed over");
    }
    if (auto rejection = handOverRejection()) {
        co_return rejection;
    }
    // A request that was queued before the rate was limited has no turn yet.
    if (auto rejection = role_.rate_.handOverRejection(std::exchange(hasTurn_, false))) {
        co_return rejection;
    }
    httpCall_ = std::move(opened).value();
    cancellation_->setAction([weak = weak_from_this()] {
        const auto request = weak.lock();
        if (request && request->httpCall_) {
            request->httpCall_->cancel();
        }
    });
    handedOverAt_ = currentTime();
    role_.rate_.onHandOver();
    co_return std::nullopt;
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::exchange()
{
    isWriting_ = true;
    beginTracking();
    asio::co_spawn(role_.executor_, writeRequest(shared_from_this()), asio::detached);
    Result<CallOutcome> result = co_await readAnswer();
    endTracking(false);
    co_await stopWriting();
    if (abortFailure_ && !result) {
        if (abortFailure_->reason == Reason::LostAtUpstream) {
            role_.recordAnswer(true);
        }
        co_return *abortFailure_;
    }
    if (!result && upstreamDisconnected(result.error())) {
        const bool answeredRecently = role_.recentAnswers_.contains(content(), currentTime());
        role_.rate_.onDisconnected();
        role_.exitMonitor_.onConnectionBroken({head_.requestId, fingerprint_.get(content()), answeredRecently});
    }
    co_return result;
}

/// Runs at the same time as readAnswer(), because an upstream may answer before it has read a long body.
asio::awaitable<void> UpstreamRequest::writeRequest(std::shared_ptr<UpstreamRequest> /*self*/)
{
    // readAnswer() reports a write failure, and it also reads what the upstream answered before it closed the
    // connection.
    const Result<void> sent = co_await httpCall_->sendRequest(makeUpstreamHead(), body_);
    isWriting_ = false;
    if (sent && isAtUpstream_) {
        role_.account_.onWritten(callId_, currentTime());
    }
    writeFinished_.cancel();
}

/// After an early answer the rest of the body is not sent. The connection is closed instead, so that the upstream never
/// takes the bytes of another request for the rest of this body.
asio::awaitable<void> UpstreamRequest::stopWriting()
{
    if (isWriting_) {
        httpCall_->cancel();
    }
    while (isWriting_) {
        boost::system::error_code ignored;
        co_await writeFinished_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::readAnswer()
{
    while (true) {
        Result<HttpResponseHead> head = co_await httpCall_->readHead();
        if (!head) {
            co_return head.error();
        }
        const UpstreamAnswerMetadata metadata = role_.dialect_.read(head.value());
        const bool isOwn = metadata.request.value().empty() || metadata.request == head_.requestId;
        if (isOwn) {
            endTracking(true);
            role_.applyStatements(metadata);
        }
        std::string body;
        while (true) {
            Result<std::string> piece = co_await httpCall_->readBody();
            if (!piece) {
                co_return piece.error();
            }
            if (piece.value().empty()) {
                break;
            }
            body += piece.value();
            if (body.size() > MaxCompleteAnswer) {
                co_return co_await streamAnswer(std::move(head).value(), std::move(body));
            }
        }
        // A faulty upstream may answer an earlier request twice. The second answer then comes before this request's
        // answer.
        if (isOwn) {
            co_return evaluateAnswer(std::move(head).value(), std::move(body), metadata);
        }
        role_.metrics_.count("egretpath_stray_answers_total");
    }
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::streamAnswer(HttpResponseHead head, std::string firstPiece)
{
    const Failure cancelled = mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
    head.headers.removeHopByHop();
    AnswerHead answerHead{head.status, std::move(head.headers)};
    // Separate conditions: g++ 12 destroys the temporaries of a co_await in a branch that was not taken.
    if (!co_await answerReceiver_->begin(std::move(answerHead))) {
        co_return cancelled;
    }
    if (!co_await answerReceiver_->write(std::move(firstPiece))) {
        co_return cancelled;
    }
    while (true) {
        Result<std::string> piece = co_await httpCall_->readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            break;
        }
        if (!co_await answerReceiver_->write(std::move(piece).value())) {
            co_return cancelled;
        }
    }
    if (!co_await answerReceiver_->end()) {
        co_return cancelled;
    }
    role_.recordAnswer(false);
    co_return outcome(StreamedAnswer{});
}

Result<CallOutcome> UpstreamRequest::evaluateAnswer(HttpResponseHead head, std::string body,
                                                    const UpstreamAnswerMetadata &metadata)
{
    role_.applyAnswerMetadata(metadata);
    if (metadata.isWrongUpstream) {
        return notRun(Reason::WrongIncarnation, "another upstream has the address");
    }
    if (metadata.isNotRun) {
        role_.recordAnswer(true);
        return notRun(Reason::Shed, "the upstream refused it with status " + std::to_string(head.status));
    }
    if (!metadata.isAuthentic) {
        role_.recordAnswer(true);
        return mayHaveRun(Reason::BadAnswer, "the answer lacks what proves that it is the upstream's");
    }
    if (head.status < FirstServerError) {
        role_.recentAnswers_.record(content(), currentTime());
    }
    role_.recordAnswer(head.status >= FirstServerError && head.status != GatewayTimeoutStatus);
    head.headers.removeHopByHop();
    return outcome(CompleteAnswer{AnswerHead{head.status, std::move(head.headers)}, std::move(body)});
}

bool UpstreamRequest::mayResend(const Failure &failure) const
{
    return head_.isRepeatable && failure.reason == Reason::ConnectionLost && httpCall_
        && httpCall_->isConnectionReused() && !cancellation_->isCancelled();
}

HttpRequestHead UpstreamRequest::makeUpstreamHead() const
{
    HttpRequestHead head(head_.method, head_.target);
    head.headers = head_.headers;
    UpstreamMetadata requestMetadata;
    requestMetadata.timeLeft =
        std::max(std::chrono::duration_cast<Milliseconds>(deadline_ - currentTime()), Milliseconds{1});
    requestMetadata.target = head_.targetUpstream;
    requestMetadata.callerService = head_.callerService;
    role_.dialect_.writeMetadata(head.headers, requestMetadata);
    return head;
}

CallOutcome UpstreamRequest::outcome(std::variant<Failure, CompleteAnswer, StreamedAnswer> result) const
{
    const bool isRouteDependent = role_.dependentRoutes_.isDependent(head_.callerService, head_.route, currentTime());
    return {role_.self_,       role_.report(head_.route), std::move(result),
            CatalogVersions(), QuarantineDigest(),        isRouteDependent};
}

RequestContent UpstreamRequest::content() const
{
    const std::string_view host = head_.headers.find("Host").value_or(std::string_view());
    return {head_.method, host, head_.target, body_};
}

std::optional<Failure> UpstreamRequest::quarantineRejection()
{
    // A dry run comes without the body, and the fingerprint of the request includes the body.
    if (head_.dryRun) {
        return std::nullopt;
    }
    return fingerprint_.rejection(role_.sources_.quarantine, content(), currentTime());
}

/// An ingress of an earlier version would take a reason that it does not know for CrashesUpstreams, and ask nobody
/// else.
Failure UpstreamRequest::readableByIngress(Failure failure) const
{
    const bool isEarlierIngress = head_.routesVersion == RouteVersion();
    if (isEarlierIngress && failure.reason > LastReasonOfEarlierNodes) {
        failure.reason = Reason::Overloaded;
    }
    return failure;
}

std::optional<Failure> UpstreamRequest::handOverRejection()
{
    if (auto rejection = role_.presence_.rejection(head_.targetUpstream)) {
        return rejection;
    }
    if (auto rejection = role_.locationRejection(head_)) {
        return rejection;
    }
    if (auto rejection = quarantineRejection()) {
        return rejection;
    }
    return std::nullopt;
}

void UpstreamRequest::releaseSlot(bool answered)
{
    if (std::exchange(holdsSlot_, false)) {
        role_.slots_.release(callId_, answered);
    }
}

void UpstreamRequest::logEnd(const CallOutcome &ended) const
{
    const TimePoint end = currentTime();
    const auto *failure = std::get_if<Failure>(&ended.result);
    if (!role_.log_.admitsDecision(end, failure != nullptr ? DecisionKind::Failure : DecisionKind::Routine)) {
        return;
    }
    const auto *complete = std::get_if<CompleteAnswer>(&ended.result);
    StructuredLine line("egress");
    line.add("request", head_.requestId.value()).add("try", std::uint64_t{head_.attempt});
    line.add("upstream", head_.targetUpstream.value()).add("route", head_.route.value());
    line.add("running", std::uint64_t{ended.report->inFlight}).add("queued", std::uint64_t{ended.report->queued});
    line.add("limit", std::uint64_t{ended.report->slots}).add("pace", std::uint64_t{ended.report->slowdownPercent});
    line.add("left_ms", std::chrono::duration_cast<Milliseconds>(deadline_ - end).count());
    line.add("took_ms", std::chrono::duration_cast<Milliseconds>(end - arrivedAt_).count());
    if (handedOverAt_ != TimePoint{}) {
        line.add("waited_ms", std::chrono::duration_cast<Milliseconds>(handedOverAt_ - arrivedAt_).count());
    }
    if (failure != nullptr) {
        line.add("verdict", toString(failure->verdict)).add("reason", toString(failure->reason));
        line.add("detail", failure->detail);
    } else if (complete != nullptr) {
        line.add("status", std::uint64_t{complete->head.status});
    }
    role_.log_.decision(line);
}

}

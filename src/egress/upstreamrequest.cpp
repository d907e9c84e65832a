#include "egress/upstreamrequest.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/bootclock.h"
#include "core/currenttime.h"
#include "egress/callconversion.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Whether the upstream, not this node, ended the connection.
bool upstreamDisconnected(const Failure &failure)
{
    return failure.reason == Reason::ConnectionLost || failure.reason == Reason::BadAnswer;
}

}

UpstreamRequest::UpstreamRequest(EgressRole &role, CallHead head, RequestBody body,
                                 std::shared_ptr<AnswerReceiver> answer, std::shared_ptr<Cancellation> cancellation)
    : role_(role)
    , roleLifetime_(role.lifetimeToken_)
    , head_(std::move(head))
    , body_(std::move(body))
    , answerReceiver_(std::move(answer))
    , cancellation_(std::move(cancellation))
    , callId_(role.nextCallId())
    , arrivedAt_(currentTime())
    , tracking_(role, callId_, head_.route, head_.priority)
    , writeFinished_(role.executor_, asio::steady_timer::time_point::max())
{
}

UpstreamRequest::~UpstreamRequest()
{
    if (!roleLifetime_.expired()) {
        role_.waitingRequests_.erase(callId_);
        tracking_.end(false);
        releaseSlot(false);
        role_.openDownloads_ -= countsAsDownload_ ? 1 : 0;
        role_.passingOnCount_ -= isPassingOn_ ? 1 : 0;
    }
}

void UpstreamRequest::abort(Failure failure)
{
    abortFailure_ = std::move(failure);
    httpCall_->cancel();
}

asio::awaitable<CallOutcome> UpstreamRequest::run()
{
    const auto self = shared_from_this();
    if (auto rejection = co_await admit()) {
        CallOutcome ended = outcome(readableByIngress(std::move(*rejection), head_));
        logEnd(ended);
        co_return ended;
    }
    Result<CallOutcome> result =
        co_await connectAndExchange(head_.isRepeatable ? HttpConnectionChoice::Pooled : HttpConnectionChoice::Fresh);
    if (!result && isKeptConnectionLost(result.error())) {
        // Only the ingress sends it again, since it counts all repeats of its requests.
        Failure failure = result.error();
        failure.reason = Reason::KeptConnectionLost;
        result = std::move(failure);
    }
    cancellation_->clearAction();
    CallOutcome ended = result ? std::move(result).value() : outcome(readableByIngress(result.error(), head_));
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
    if (auto rejection = stopRejection()) {
        co_return rejection;
    }
    if (auto rejection = role_.servingCheck_.rejection(head_)) {
        co_return rejection;
    }
    co_await role_.refreshUpstreamState();
    // The node may have begun to drain meanwhile, and has then refused all that waited for a turn.
    if (auto rejection = stopRejection()) {
        co_return rejection;
    }
    if (auto rejection = handOverRejection()) {
        co_return rejection;
    }
    isDownload_ = role_.servingCheck_.isDownload(head_);
    if (auto rejection = isDownload_ ? role_.downloadRejection() : std::nullopt) {
        co_return rejection;
    }
    if (auto rejection = parentRejection()) {
        co_return rejection;
    }
    role_.updateFailureShare();
    const WorkOffer offer = makeOffer();
    if (role_.rate_.isLimited()) {
        if (auto rejection = role_.turns_.rejection(makeTurnRequest(offer))) {
            co_return rejection;
        }
    }
    if (head_.dryRun) {
        co_return role_.slots_.queue()
            .rejection(offer, currentTime())
            .value_or(notRun(Reason::None, "it would be taken"));
    }
    countsAsDownload_ = isDownload_;
    role_.openDownloads_ += isDownload_ ? 1 : 0;
    if (auto rejection = co_await waitForTurn(offer)) {
        co_return rejection;
    }
    role_.waitingRequests_.emplace(callId_, this);
    std::optional<Failure> rejection = co_await role_.slots_.acquire(offer, head_.targetUpstream, cancellation_);
    role_.waitingRequests_.erase(callId_);
    holdsSlot_ = !rejection;
    startedAboveLimit_ = holdsSlot_ && role_.slots_.queue().startedAboveLimit(callId_);
    if (startedAboveLimit_) {
        role_.metrics_.count("egretpath_started_above_limit_total");
    }
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

/// A turn is taken only if the request would get a slot, so that none is lost.
asio::awaitable<std::optional<Failure>> UpstreamRequest::waitForTurn(const WorkOffer &offer)
{
    if (!role_.rate_.isLimited()) {
        co_return std::nullopt;
    }
    const TimePoint start = currentTime();
    if (auto rejection = role_.slots_.queue().rejection(offer, start)) {
        co_return rejection;
    }
    const TurnRequest request = makeTurnRequest(offer);
    UpstreamTurns::WaitResult result = co_await role_.turns_.acquire(request, head_.targetUpstream, cancellation_);
    turnWait_ = currentTime() - start;
    if (auto *failure = std::get_if<Failure>(&result)) {
        co_return std::move(*failure);
    }
    hasTurn_ = std::get<TurnState>(result) == TurnState::Taken;
    // The upstream may have been replaced since the wait ended.
    co_return handOverRejection();
}

TurnRequest UpstreamRequest::makeTurnRequest(const WorkOffer &offer) const
{
    return Egretpath::makeTurnRequest(head_, offer, role_.slots_.queue().expected(offer, currentTime()));
}

WorkOffer UpstreamRequest::makeOffer() const
{
    WorkOffer offer;
    offer.call = callId_;
    offer.route = head_.route;
    // Nodes of an earlier version don't say that a call is dependent, but a late answer is worth nothing to its caller.
    const bool isDependent = head_.isDependent || targetTime_ >= deadline_;
    offer.priority = role_.slots_.queue().localPriority(head_.route, head_.priority, isDependent);
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
    answerReader_.reset();
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
    const bool hasTurn = std::exchange(hasTurn_, false);
    if (role_.rate_.isLimited()) {
        if (auto rejection = role_.turns_.handOverRejection(makeTurnRequest(makeOffer()), hasTurn)) {
            co_return rejection;
        }
    }
    httpCall_ = std::move(opened).value();
    cancellation_->setAction([weak = weak_from_this()] {
        const auto request = weak.lock();
        if (request && request->httpCall_) {
            request->httpCall_->cancel();
        }
        if (request && request->answerReader_) {
            request->answerReader_->cancel();
        }
    });
    handedOverAt_ = currentTime();
    role_.rate_.onHandOver();
    co_return std::nullopt;
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::exchange()
{
    isWriting_ = true;
    tracking_.begin(shared_from_this(), deadline_);
    asio::co_spawn(role_.executor_, writeRequest(shared_from_this()), asio::detached);
    const AnsweredRequest answered{head_.requestId, content(), deadline_, isDownload_};
    answerReader_ = std::make_unique<AnswerReader>(role_, *httpCall_, answered, answerReceiver_);
    std::function<void()> onBegan = [this] { tracking_.end(true); };
    Result<ReadAnswer> result = co_await answerReader_->read(std::move(onBegan));
    tracking_.end(false);
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
    if (!result) {
        co_return result.error();
    }
    co_return co_await passOn(std::move(result).value());
}

/// Runs at the same time as the answer is read, because an upstream may answer before it has read a long body.
asio::awaitable<void> UpstreamRequest::writeRequest(std::shared_ptr<UpstreamRequest> /*self*/)
{
    const Result<void> sent =
        co_await httpCall_->sendSharedRequest(makeUpstreamHead(head_, deadline_, role_.dialect_), body_.view());
    isWriting_ = false;
    if (sent && tracking_.isAtUpstream()) {
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

asio::awaitable<Result<CallOutcome>> UpstreamRequest::passOn(ReadAnswer answer)
{
    if (auto *complete = std::get_if<CompleteAnswer>(&answer)) {
        co_return outcome(std::move(*complete));
    }
    // The upstream has sent its last byte. Its slot and its connection don't wait for a slow reader.
    releaseSlot(true);
    httpCall_.reset();
    isPassingOn_ = true;
    ++role_.passingOnCount_;
    const bool isTaken = co_await std::get<std::shared_ptr<AnswerStream>>(answer)->finish();
    if (!isTaken) {
        co_return mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
    }
    co_return outcome(StreamedAnswer{});
}

bool UpstreamRequest::isKeptConnectionLost(const Failure &failure) const
{
    return failure.reason == Reason::ConnectionLost && httpCall_ && httpCall_->isConnectionReused()
        && !answerReader_->hasStream();
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
    return {head_.method, host, head_.target, body_.view()};
}

std::optional<Failure> UpstreamRequest::quarantineRejection()
{
    // A dry run comes without the body, and the fingerprint of the request includes the body.
    if (head_.dryRun) {
        return std::nullopt;
    }
    return fingerprint_.rejection(role_.sources_.quarantine, content(), currentTime());
}

std::optional<Failure> UpstreamRequest::stopRejection() const
{
    const bool isRefused = role_.isDraining_ || deadline_ > role_.answersDue_;
    return isRefused ? std::optional(EgressRole::drainingRejection()) : std::nullopt;
}

std::optional<Failure> UpstreamRequest::handOverRejection()
{
    // A request that waited while the stop began may have been taken with a later deadline.
    if (deadline_ > role_.answersDue_) {
        return EgressRole::drainingRejection();
    }
    if (auto rejection = role_.presence_.rejection(head_.targetUpstream)) {
        return rejection;
    }
    if (auto rejection = role_.servingCheck_.rejection(head_)) {
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

void UpstreamRequest::logCut(std::string_view state) const
{
    const TimePoint now = currentTime();
    StructuredLine line("cut");
    line.add("role", "egress").add("request", head_.requestId.value()).add("try", std::uint64_t{head_.attempt});
    line.add("route", head_.route.value()).add("upstream", head_.targetUpstream.value()).add("state", state);
    line.add("age_ms", std::chrono::duration_cast<Milliseconds>(now - arrivedAt_).count());
    line.add("left_ms", std::chrono::duration_cast<Milliseconds>(deadline_ - now).count());
    role_.log_.warning(line);
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
    if (turnWait_) {
        line.add("turn_ms", std::chrono::duration_cast<Milliseconds>(*turnWait_).count());
    }
    if (startedAboveLimit_) {
        line.add("fill", "above-limit");
    }
    const RouteTablePointer &routes = role_.sources_.routes;
    const RouteVersion ownVersion = routes ? routes->version() : RouteVersion();
    line.add("routes", ownVersion.value());
    if (head_.routesVersion != ownVersion) {
        line.add("placed_by", head_.routesVersion.value());
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

#include "ingress/proxiedrequest.h"

#include <algorithm>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "http/messagewriter.h"
#include "ingress/bodyreader.h"
#include "ingress/streamedanswerrelay.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// The maximum number of tries of one request, including declined ones. No service has as many nearby candidates.
constexpr std::uint32_t MaxTries = 64;

/// A caller whose timeout ends gives up about at the deadline.
constexpr Milliseconds DeadlineTolerance{25};

/// The longest time for which a request waits for routes that another node has.
constexpr Milliseconds MaxRoutesWait{1000};

/// Describes an answer of an upstream for the log.
Failure describeAnswer(std::string detail, Reason reason)
{
    return {Verdict::Answered, reason, Milliseconds{0}, std::move(detail)};
}

}

ProxiedRequest::ProxiedRequest(std::shared_ptr<IngressContext> context, HttpExchange &exchange)
    : context_(std::move(context))
    , exchange_(exchange)
    , writer_(std::make_shared<AnswerWriter>(exchange_, context_->heldMessages, context_->linkPacer))
    , wakeUp_(context_->executor)
{
    parameters_.routes = context_->sources.routes;
    parameters_.arrival = currentTime();
    context_->openRequests.insert(this);
}

ProxiedRequest::~ProxiedRequest()
{
    context_->openRequests.erase(this);
    context_->waitingForRoutes.erase(this);
}

asio::awaitable<void> ProxiedRequest::run()
{
    const auto self = shared_from_this();
    if (auto failure = co_await prepare()) {
        co_await respond(std::move(*failure));
        co_return;
    }
    exchange_.onCallerDisconnected([weak = weak_from_this()] {
        if (const auto request = weak.lock()) {
            request->isCallerDisconnected_ = true;
            request->wakeUp_.cancel();
            request->writer_->cancel();
        }
    });
    context_->budget.onFirstTry(service_);
    co_await tryUntilEnded();
    // A piece that still waits for its turn must not be written to the exchange, which no longer exists then.
    writer_->cancel();
    hasEnded_ = true;
    tries_->cancelAll();
    co_await waitForWriters();
}

asio::awaitable<std::optional<Failure>> ProxiedRequest::prepare()
{
    if (auto failure = readParameters(*context_, exchange_.head(), parameters_)) {
        co_return failure;
    }
    writer_->setPriority(parameters_.priority);
    if (auto failure = downloadRejection()) {
        co_return failure;
    }
    const auto reader = std::make_shared<BodyReader>(context_, exchange_, parameters_);
    Result<RequestBody> body = co_await reader->read();
    if (!body) {
        co_return body.error();
    }
    if (auto failure = co_await waitUntilSendable()) {
        co_return failure;
    }
    makeTries(std::move(body).value());
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> ProxiedRequest::waitUntilSendable()
{
    if (!isIdempotent(parameters_.route->kind)) {
        co_await exchange_.waitForTurn();
    }
    if (exchange_.callerDisconnected()) {
        co_return notRun(Reason::Cancelled, std::string(describe(exchange_.connectionLoss())));
    }
    // Reading the body, or waiting for the answers to earlier requests, may have taken long.
    co_return stopRejection(*context_, parameters_);
}

std::optional<Failure> ProxiedRequest::downloadRejection()
{
    const auto held = context_->heldAnswers.lock();
    if (!held || parameters_.route->kind != RequestKind::Download) {
        return std::nullopt;
    }
    std::optional<Failure> rejection = held->rejection("ingress");
    if (rejection) {
        rejection->retryAfter = retryDelay(*context_, parameters_, rejection->retryAfter);
    }
    return rejection;
}

void ProxiedRequest::makeTries(RequestBody body)
{
    service_ = context_->split.next(*parameters_.route);
    const IngressCallId id{context_->localNode.self.incarnation, CallSequence(++context_->lastSequence)};
    const Repetition repetition = isIdempotent(parameters_.route->kind) ? Repetition::Repeatable : Repetition::Once;
    CallState state(id, repetition, MaxTries, parameters_.deadline);
    TryContent content;
    content.service = service_;
    content.body = std::move(body);
    content.makeReceiver = [weak = weak_from_this(), local = context_->localNode.endpoint,
                            held = context_->heldAnswers](const RequestTry &requestTry) {
        // The egress beside this ingress holds the bytes itself.
        return std::make_shared<StreamedAnswerRelay>(weak, requestTry.number,
                                                     requestTry.node == local ? std::weak_ptr<HeldAnswers>() : held);
    };
    tries_ = std::make_shared<RequestTries>(context_, parameters_, std::move(content), std::move(state),
                                            [weak = weak_from_this()] {
                                                if (const auto request = weak.lock()) {
                                                    request->wakeUp_.cancel();
                                                }
                                            });
}

asio::awaitable<void> ProxiedRequest::tryUntilEnded()
{
    while (true) {
        if (isCallerDisconnected_) {
            recordCallerDisconnected();
            co_return;
        }
        if (tries_->hasEndedTry()) {
            if (co_await handleTryEnd(tries_->takeEndedTry())) {
                co_return;
            }
            continue;
        }
        if (!isStreamed_ && isProcessEnding_) {
            co_await giveUp(notRun(Reason::Draining, "the process ends"));
            co_return;
        }
        if (!isStreamed_ && currentTime() >= parameters_.deadline) {
            co_await giveUp(notRun(Reason::DeadlinePassed, "no answer before the timeout"));
            co_return;
        }
        if (!tries_->hasRunningTry()) {
            if (auto failure = tries_->start(exchange_.head(), exchange_.remoteEndpoint())) {
                co_await giveUp(std::move(*failure));
                co_return;
            }
        }
        co_await waitForTryEnd();
    }
}

void ProxiedRequest::recordCallerDisconnected()
{
    // This ends the call. A later answer must not be written to the exchange, which no longer exists then.
    [[maybe_unused]] const auto ignored = tries_->state().giveUp(Reason::Cancelled);
    logEnd(0, mayHaveRun(Reason::Cancelled, std::string(describe(exchange_.connectionLoss()))));
}

asio::awaitable<void> ProxiedRequest::waitForTryEnd()
{
    if (tries_->hasEndedTry() || isCallerDisconnected_ || isProcessEnding_) {
        co_return;
    }
    wakeUp_.expires_at(isStreamed_ ? TimePoint::max() : parameters_.deadline);
    boost::system::error_code ignored;
    co_await wakeUp_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> ProxiedRequest::waitForWriters()
{
    while (writerCount_ > 0) {
        wakeUp_.expires_at(TimePoint::max());
        boost::system::error_code ignored;
        co_await wakeUp_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<bool> ProxiedRequest::handleTryEnd(TryEnd ended)
{
    const RequestTry &requestTry = *ended.requestTry;
    if (isStreamed_) {
        finishStreamedAnswer(ended);
        co_return true;
    }
    const Failure *failure = ended.failure();
    if (failure == nullptr && !tries_->mayRetryAfterAnswer(ended.outcome.value())) {
        co_await deliver(requestTry, std::move(ended.outcome).value());
        co_return true;
    }
    if (failure != nullptr && failure->reason == Reason::OlderRoutes && tries_->mayBePlacedAnew()) {
        co_return co_await placeByNewerRoutes(requestTry, *failure);
    }
    const Failure countedFailure =
        failure != nullptr ? *failure : mayHaveRun(Reason::BadAnswer, "the upstream failed it");
    const NextStep step = tries_->recordFailure(requestTry, countedFailure);
    if (step == NextStep::MayRetry && tries_->mayRetry(requestTry, countedFailure)) {
        co_return false;
    }
    if (failure == nullptr) {
        co_await deliver(requestTry, std::move(ended.outcome).value());
        co_return true;
    }
    if (step == NextStep::Ignore || step == NextStep::Wait) {
        co_return false;
    }
    co_await giveUp(countedFailure);
    co_return true;
}

asio::awaitable<bool> ProxiedRequest::placeByNewerRoutes(const RequestTry &requestTry, const Failure &failure)
{
    [[maybe_unused]] const NextStep step = tries_->recordFailure(requestTry, failure);
    const RouteVersion older = parameters_.routes->version();
    co_await waitForNewerRoutes(requestTry.node);
    if (isCallerDisconnected_ || isProcessEnding_) {
        co_return false;
    }
    std::optional<Failure> refusal =
        context_->sources.routes->version() > older ? adoptNewerRoutes() : std::optional(failure);
    if (!refusal) {
        refusal = co_await waitUntilSendable();
    }
    if (refusal) {
        co_await giveUp(std::move(*refusal));
        co_return true;
    }
    context_->requestLog.recordPlacedAnew(parameters_.caller.request, older, parameters_.routes->version());
    makeTries(tries_->takeBody());
    co_return false;
}

asio::awaitable<void> ProxiedRequest::waitForNewerRoutes(const Endpoint &node)
{
    const RouteVersion older = parameters_.routes->version();
    const TimePoint end = std::min<TimePoint>(parameters_.deadline, currentTime() + MaxRoutesWait);
    const auto isWaiting = [&] {
        return context_->sources.routes->version() <= older && currentTime() < end && !isCallerDisconnected_
            && !isProcessEnding_;
    };
    if (isWaiting() && context_->olderRoutesListener) {
        context_->olderRoutesListener(node);
    }
    context_->waitingForRoutes.insert(this);
    while (isWaiting()) {
        wakeUp_.expires_at(end);
        boost::system::error_code ignored;
        co_await wakeUp_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    context_->waitingForRoutes.erase(this);
}

std::optional<Failure> ProxiedRequest::adoptNewerRoutes()
{
    const HttpRequestHead &head = exchange_.head();
    const RouteTablePointer &routes = context_->sources.routes;
    const Route *route = routes->match(head.headers.find("Host").value_or(std::string_view()), head.target);
    if (route == nullptr) {
        return notRun(Reason::NoRoute, "no route takes this host and path");
    }
    parameters_.routes = routes;
    parameters_.route = route;
    parameters_.deadline = std::min<TimePoint>(parameters_.deadline, parameters_.arrival + parameters_.route->timeout);
    parameters_.targetTime = std::min(parameters_.targetTime, parameters_.deadline);
    return downloadRejection();
}

void ProxiedRequest::finishStreamedAnswer(const TryEnd &ended)
{
    const bool isComplete = ended.outcome && std::holds_alternative<StreamedAnswer>(ended.outcome.value().result);
    if (!isComplete) {
        // The caller has received a part of the answer. Only closing the connection shows that the rest is missing.
        exchange_.abort();
    } else {
        context_->sizes.record(parameters_.route->name, Bytes(streamedBytes_));
    }
    context_->stop.recordAnswer(parameters_.route->name, currentTime() - parameters_.arrival);
    logEnd(0, describeAnswer("sent in pieces", isComplete ? Reason::None : Reason::BadAnswer), streamedBytes_);
}

asio::awaitable<void> ProxiedRequest::deliver(const RequestTry &requestTry, CallOutcome outcome)
{
    // The result is ignored: the state has ended this try already if the answer counted as failed and is delivered
    // because no retry is possible.
    [[maybe_unused]] const bool isAccepted = tries_->state().acceptAnswer(requestTry.number);
    auto *complete = std::get_if<CompleteAnswer>(&outcome.result);
    if (complete == nullptr) {
        co_return;
    }
    tries_->dropBody();
    if (auto failure = writer_->hold(Bytes(complete->body.size()))) {
        co_await respond(std::move(*failure));
        co_return;
    }
    HttpResponseHead head(complete->head.status);
    head.headers = std::move(complete->head.headers);
    if (isUnprovenPromise(head.status)) {
        co_await respond(mayHaveRun(Reason::BadAnswer, "the upstream refused it but may have run it"));
        co_return;
    }
    if (!isSendable(head)) {
        // A node of an earlier version may pass it on.
        co_await respond(mayHaveRun(Reason::BadAnswer, "an answer that no message may carry"));
        co_return;
    }
    context_->stop.recordAnswer(parameters_.route->name, currentTime() - parameters_.arrival);
    logEnd(head.status, describeAnswer(requestTry.upstream.value(), Reason::None), complete->body.size());
    co_await writer_->send(std::move(head), std::move(complete->body));
}

bool ProxiedRequest::isUnprovenPromise(std::uint16_t status) const
{
    return !isIdempotent(parameters_.route->kind) && context_->dialect.promisesNotRun(status);
}

asio::awaitable<void> ProxiedRequest::giveUp(Failure failure)
{
    // A request that crashes upstreams must not be retried within its caller's timeout, so its delay is not shortened.
    // One without a route gets none.
    const bool keepsDelay = failure.reason == Reason::CrashesUpstreams || failure.reason == Reason::NoRoute;
    Milliseconds retryAfter = keepsDelay ? failure.retryAfter : retryDelay(*context_, parameters_, failure.retryAfter);
    if (failure.reason == Reason::Overloaded) {
        retryAfter = context_->room.returnDelay(service_, parameters_.priority, retryAfter,
                                                longestRetryDelay(parameters_), currentTime());
    }
    const auto reportedFailure = tries_->state().giveUp(failure.reason, retryAfter, failure.detail);
    if (reportedFailure) {
        tries_->cancelAll();
        co_await respond(*reportedFailure);
    }
}

asio::awaitable<void> ProxiedRequest::respond(Failure failure)
{
    if (exchange_.callerDisconnected()) {
        logEnd(0, failure);
        co_return;
    }
    HttpResponseHead head = context_->dialect.refusal(failure, parameters_.caller.request);
    logEnd(head.status, failure);
    [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), failure.detail + "\n");
}

void ProxiedRequest::recordCallEnd(const Failure &result)
{
    if (!parameters_.isDependent) {
        return;
    }
    // A call that its caller gave up early, or that is refused for its content, shows nothing about the callee.
    const TimePoint now = currentTime();
    const bool isGivenUp = result.reason == Reason::Cancelled && now < parameters_.deadline - DeadlineTolerance;
    if (!isGivenUp && result.reason != Reason::CrashesUpstreams) {
        context_->egress.calls().onCallEnded(parameters_.route->name, result.reason == Reason::None, now);
    }
}

void ProxiedRequest::endWithProcess()
{
    isProcessEnding_ = true;
    wakeUp_.cancel();
}

CutRequest ProxiedRequest::describeCut() const
{
    const TimePoint now = currentTime();
    CutRequest cut;
    cut.request = parameters_.caller.request;
    cut.route = parameters_.route;
    cut.service = service_;
    cut.age = now - parameters_.arrival;
    cut.timeLeft = parameters_.route != nullptr ? parameters_.deadline - now : Duration{0};
    cut.takenBy = parameters_.takenBy;
    cut.hasAnswerBegun = exchange_.hasResponseStarted();
    if (tries_) {
        cut.tryCount = tries_->tryCount();
        cut.upstream = tries_->lastUpstream();
    }
    return cut;
}

void ProxiedRequest::logEnd(std::uint16_t status, const Failure &result, std::optional<std::uint64_t> answerBytes)
{
    EndedRequest ended;
    ended.request = parameters_.caller.request;
    ended.route = parameters_.route;
    ended.service = service_;
    ended.status = status;
    ended.verdict = result.verdict;
    ended.reason = result.reason;
    ended.detail = result.detail;
    ended.tryCount = tries_ ? tries_->tryCount() : 0;
    ended.reachedCount = tries_ ? tries_->reachedCount() : 0;
    ended.duration = currentTime() - parameters_.arrival;
    ended.answerBytes = answerBytes;
    ended.routesVersion = parameters_.routes ? parameters_.routes->version() : RouteVersion();
    recordCallEnd(result);
    context_->requestLog.recordEnd(ended);
}

}

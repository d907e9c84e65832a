#include "ingress/proxiedrequest.h"

#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "ingress/streamedanswerrelay.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Sendings of one request in all, declined ones included: more than any service has near candidates.
constexpr std::uint32_t SendingsCap = 64;

/// For the log: an upstream's own answer.
Failure answeredBy(std::string detail, Reason reason)
{
    return {Verdict::Answered, reason, Milliseconds{0}, std::move(detail)};
}

}

ProxiedRequest::ProxiedRequest(std::shared_ptr<IngressContext> context, HttpExchange &exchange)
    : context_(std::move(context))
    , exchange_(exchange)
    , wakeUp_(context_->executor)
{
    terms_.routes = context_->sources.routes;
    terms_.arrival = currentTime();
    ++context_->openRequests;
}

ProxiedRequest::~ProxiedRequest()
{
    --context_->openRequests;
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
            request->callerDisconnected_ = true;
            request->wakeUp_.cancel();
        }
    });
    context_->budget.onFirstTry(service_);
    co_await tryUntilEnded();
    tries_->cancelAll();
}

asio::awaitable<std::optional<Failure>> ProxiedRequest::prepare()
{
    if (auto failure = readTerms(*context_, exchange_.head(), terms_)) {
        co_return failure;
    }
    std::string body;
    if (auto failure = co_await readBody(body)) {
        co_return failure;
    }
    if (terms_.route->kind != RequestKind::Safe) {
        co_await exchange_.waitForTurn();
    }
    if (exchange_.callerDisconnected()) {
        co_return notRun(Reason::Cancelled, "the caller went away");
    }
    // The body or the answers before it may have taken long.
    if (auto failure = stopRefusal(*context_, terms_)) {
        co_return failure;
    }
    makeTries(std::move(body));
    co_return std::nullopt;
}

asio::awaitable<std::optional<Failure>> ProxiedRequest::readBody(std::string &body)
{
    while (true) {
        Result<std::string> piece = co_await exchange_.readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return std::nullopt;
        }
        body += piece.value();
    }
}

void ProxiedRequest::makeTries(std::string body)
{
    service_ = context_->split.next(*terms_.route);
    const bool safe = terms_.route->kind == RequestKind::Safe;
    const IngressCallId id{context_->place.self.incarnation, CallSequence(++context_->lastSequence)};
    CallState state(id, safe ? Repetition::Repeatable : Repetition::Once, SendingsCap, terms_.deadline);
    TryContent content;
    content.service = service_;
    content.body = std::move(body);
    content.makeReceiver = [weak = weak_from_this()](TryNumber number) {
        return std::make_shared<StreamedAnswerRelay>(weak, number);
    };
    tries_ = std::make_shared<RequestTries>(context_, terms_, std::move(content), std::move(state),
                                            [weak = weak_from_this()] {
                                                if (const auto request = weak.lock()) {
                                                    request->wakeUp_.cancel();
                                                }
                                            });
}

asio::awaitable<void> ProxiedRequest::tryUntilEnded()
{
    while (true) {
        if (callerDisconnected_) {
            recordCallerDisconnected();
            co_return;
        }
        if (tries_->anyEnded()) {
            if (co_await evaluate(tries_->takeEnded())) {
                co_return;
            }
            continue;
        }
        if (currentTime() >= terms_.deadline) {
            co_await giveUp(notRun(Reason::DeadlinePassed, "no answer before the timeout"));
            co_return;
        }
        if (!tries_->anyUnderWay()) {
            if (auto failure = tries_->start(exchange_.head(), exchange_.remoteEndpoint())) {
                co_await giveUp(std::move(*failure));
                co_return;
            }
        }
        co_await waitForTry();
    }
}

void ProxiedRequest::recordCallerDisconnected()
{
    // Ended, so that no answer that still comes is written to the exchange, which is gone as well.
    [[maybe_unused]] const auto nobody = tries_->state().giveUp(Reason::Cancelled);
    logEnd(0, mayHaveRun(Reason::Cancelled, "the caller went away"));
}

asio::awaitable<void> ProxiedRequest::waitForTry()
{
    if (tries_->anyEnded() || callerDisconnected_) {
        co_return;
    }
    wakeUp_.expires_at(terms_.deadline);
    boost::system::error_code ignored;
    co_await wakeUp_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<bool> ProxiedRequest::evaluate(TryEnd ended)
{
    const RequestTry &which = *ended.which;
    if (streamed_) {
        endStreamed(ended);
        co_return true;
    }
    const Failure *failure = ended.failure();
    if (failure == nullptr && !tries_->mayReplace(ended.outcome.value())) {
        co_await deliver(which, std::move(ended.outcome).value());
        co_return true;
    }
    const Failure shown = failure != nullptr ? *failure : mayHaveRun(Reason::BadAnswer, "the upstream failed it");
    const NextStep step = tries_->noteFailed(which, shown);
    if (step == NextStep::MayTryAgain && tries_->mayRepeat(which, shown)) {
        co_return false;
    }
    if (failure == nullptr) {
        co_await deliver(which, std::move(ended.outcome).value());
        co_return true;
    }
    if (step == NextStep::Ignore || step == NextStep::Wait) {
        co_return false;
    }
    co_await giveUp(shown);
    co_return true;
}

void ProxiedRequest::endStreamed(const TryEnd &ended)
{
    const bool whole = ended.outcome && std::holds_alternative<StreamedAnswer>(ended.outcome.value().result);
    if (!whole) {
        // A part of the answer is with the caller; only a dropped connection tells that the rest is missing.
        exchange_.abort();
    }
    context_->stop.recordAnswer(terms_.route->name, currentTime() - terms_.arrival);
    logEnd(0, answeredBy("sent in pieces", whole ? Reason::None : Reason::BadAnswer));
}

asio::awaitable<void> ProxiedRequest::deliver(const RequestTry &which, CallOutcome outcome)
{
    // After a failed try whose answer is delivered for want of a better one, the try has ended already.
    [[maybe_unused]] const bool first = tries_->state().answered(which.number);
    auto *whole = std::get_if<CompleteAnswer>(&outcome.result);
    if (whole == nullptr) {
        co_return;
    }
    HttpResponseHead head(whole->head.status);
    head.headers = std::move(whole->head.headers);
    context_->stop.recordAnswer(terms_.route->name, currentTime() - terms_.arrival);
    logEnd(head.status, answeredBy(which.upstream.value(), Reason::None));
    [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), std::move(whole->body));
}

asio::awaitable<void> ProxiedRequest::giveUp(Failure failure)
{
    // One that ends upstreams is not to come back within its caller's patience.
    const bool isHopeless = failure.reason == Reason::CrashesUpstreams;
    const Milliseconds back = isHopeless ? failure.retryAfter : retryDelay(*context_, terms_, failure.retryAfter);
    const auto shown = tries_->state().giveUp(failure.reason, back, failure.detail);
    if (shown) {
        tries_->cancelAll();
        co_await respond(*shown);
    }
}

asio::awaitable<void> ProxiedRequest::respond(Failure failure)
{
    if (exchange_.callerDisconnected()) {
        logEnd(0, failure);
        co_return;
    }
    HttpResponseHead head = context_->dialect.refusal(failure, terms_.caller.request);
    logEnd(head.status, failure);
    [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), failure.detail + "\n");
}

void ProxiedRequest::logEnd(std::uint16_t status, const Failure &how)
{
    EndedRequest ended;
    ended.request = terms_.caller.request;
    ended.route = terms_.route;
    ended.service = service_;
    ended.status = status;
    ended.verdict = how.verdict;
    ended.reason = how.reason;
    ended.detail = how.detail;
    ended.sent = tries_ ? tries_->sendings() : 0;
    ended.reached = tries_ ? tries_->reached() : 0;
    ended.took = currentTime() - terms_.arrival;
    ended.routes = terms_.routes ? terms_.routes->version() : RouteVersion();
    context_->requestLog.ended(ended);
}

}

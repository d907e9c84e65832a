#include "node/ingresscall.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "node/callclassification.h"
#include "node/calleranswer.h"
#include "node/callerresponse.h"
#include "node/headernames.h"
#include "node/localupload.h"
#include "node/requesttarget.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Bodies up to this size travel in one message with the head.
constexpr std::size_t FirstPieceLimit = std::size_t{64} * 1024;
constexpr Milliseconds DefaultRetryAfter{100};
constexpr Milliseconds NoTableRetryAfter{200};
constexpr std::uint16_t ServiceUnavailable = 503;

RequestId makeRequestId(const NodeIdentity &self, std::uint64_t sequence)
{
    return RequestId(self.upstream.value() + "-" + std::to_string(self.incarnation.value()) + "-"
                     + std::to_string(sequence));
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), number);
    if (result.ec != std::errc{} || result.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

Repetition repetitionOf(const ServicePolicy &policy, const std::string &key)
{
    if (policy.triesCap > 1) {
        return Repetition::Repeatable;
    }
    return key.empty() ? Repetition::Once : Repetition::OncePerKey;
}

std::uint32_t sendingsCap(const ServicePolicy &policy)
{
    return std::max<std::uint32_t>(policy.triesCap, RetryPolicy::NotRunTriesCap);
}

}

IngressCall::IngressCall(IngressController &controller, HttpExchange &exchange)
    : controller_(controller)
    , board_(controller.board_)
    , exchange_(exchange)
    , sequence_(++controller.lastSequence_)
    , requestId_(makeRequestId(board_.self, sequence_))
    , service_(RequestTarget(exchange.head().target).service())
    , evidence_(board_)
    , decisions_(board_, requestId_, service_)
    , table_(board_.table)
    , arrival_(currentTime())
    , pumpEnd_(controller.executor_, asio::steady_timer::time_point::max())
{
    ++controller_.openCalls_;
}

IngressCall::~IngressCall()
{
    --controller_.openCalls_;
}

asio::awaitable<void> IngressCall::run()
{
    if (auto failure = check()) {
        co_await respond(refuseUnasked(std::move(*failure)));
        co_return;
    }
    if (auto failure = co_await readFirstPiece()) {
        co_await respond(refuseUnasked(std::move(*failure)));
        co_return;
    }
    const IngressCallId id{board_.self.incarnation, CallSequence(sequence_)};
    state_.emplace(id, repetitionOf(*policy_, key_), sendingsCap(*policy_), deadline_);
    exchange_.onCallerGone([weak = weak_from_this()] {
        const auto call = weak.lock();
        if (call && call->cancellation_) {
            call->cancellation_->cancel();
        }
    });
    controller_.retryBudget_.onFirstTry(service_);
    board_.serviceUse[service_] = arrival_;
    co_await tryUntilEnded();
    co_await waitForPump();
    ended_ = true;
}

std::optional<Failure> IngressCall::check()
{
    if (!table_) {
        return notRun(Reason::NoTable, "no table is in force yet", NoTableRetryAfter);
    }
    policy_ = table_->service(service_);
    if (policy_ == nullptr) {
        return notRun(Reason::BadRequest, "no service of the table is called \"" + service_.value() + "\"");
    }
    const HttpRequestHead &head = exchange_.head();
    if (head.contentLength.value_or(0) > policy_->bodyCap.value()) {
        return notRun(Reason::TooLarge, "the body is larger than the table's body_cap");
    }
    Milliseconds allowed = policy_->deadline;
    if (const auto wanted = head.headers.find(HeaderNames::Deadline)) {
        const auto number = parseNumber(*wanted);
        if (!number || *number == 0) {
            return notRun(Reason::BadRequest, "Egretpath-Deadline-Ms must be a whole number above zero");
        }
        allowed = Milliseconds(std::min<std::uint64_t>(*number, static_cast<std::uint64_t>(allowed.count())));
    }
    deadline_ = arrival_ + allowed;
    if (policy_->triesCap == 1) {
        key_ = head.headers.find(HeaderNames::IdempotencyKey).value_or(std::string_view());
    }
    return std::nullopt;
}

asio::awaitable<std::optional<Failure>> IngressCall::readFirstPiece()
{
    while (firstPiece_.size() < FirstPieceLimit) {
        Result<std::string> piece = co_await exchange_.readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            bodyWhole_ = true;
            co_return std::nullopt;
        }
        firstPiece_ += piece.value();
    }
    co_return std::nullopt;
}

Failure IngressCall::refuseUnasked(Failure failure) const
{
    const bool repeatable = policy_ != nullptr && policy_->triesCap > 1;
    const auto key = exchange_.head().headers.find(HeaderNames::IdempotencyKey);
    if (repeatable || !key) {
        return failure;
    }
    return controller_.keyRouter_.refuseUnasked(KeyText(std::string(*key)), std::move(failure));
}

asio::awaitable<void> IngressCall::tryUntilEnded()
{
    while (true) {
        const Result<TryTarget> target = chooseTarget();
        if (!target) {
            co_await finish(state_->refuse(target.error()));
            co_return;
        }
        const NodeIdentity meant{target.value().upstream, target.value().incarnation};
        const Result<TryId> tryId = state_->startTry(meant, currentTime());
        if (!tryId) {
            co_await finish(state_->giveUp(tryId.error().reason, DefaultRetryAfter, tryId.error().detail));
            co_return;
        }
        const TryNumber number = tryId.value().number;
        const Result<CallOutcome> outcome = co_await send(target.value(), number);
        evidence_.take(target.value(), outcome, std::exchange(sent_, false), sentAt_);
        if (!co_await evaluate(target.value(), number, outcome)) {
            co_return;
        }
        tried_.push_back(target.value().upstream);
    }
}

asio::awaitable<bool> IngressCall::evaluate(const TryTarget &target, TryNumber number,
                                            const Result<CallOutcome> &outcome)
{
    if (state_->phase() == CallPhase::Answered) {
        endStreamedAnswer(outcome);
        co_return false;
    }
    const Failure *failure = nullptr;
    Failure shed;
    if (!outcome) {
        failure = &outcome.error();
    } else if (const auto *refusal = std::get_if<Failure>(&outcome.value().result)) {
        failure = refusal;
    } else if (mayReplaceAnswer(std::get<WholeAnswer>(outcome.value().result))) {
        shed = mayHaveRun(Reason::Overloaded, "the upstream sheds load", DefaultRetryAfter);
        failure = &shed;
    }
    if (failure == nullptr || (failure == &shed && !mayTryAgain(shed, target))) {
        co_await answer(outcome.value(), number);
        co_return false;
    }
    const NextStep step = state_->tryFailed(number, *failure);
    if (step == NextStep::MayTryAgain && (failure == &shed || mayTryAgain(*failure, target))) {
        co_return true;
    }
    if (bodyTooLarge_) {
        co_await finish(state_->giveUp(Reason::TooLarge, DefaultRetryAfter, "the body is larger than body_cap"));
        co_return false;
    }
    const Milliseconds retryAfter = failure->retryAfter.count() > 0 ? failure->retryAfter : DefaultRetryAfter;
    co_await finish(state_->giveUp(failure->reason, retryAfter, failure->detail));
    co_return false;
}

bool IngressCall::mayReplaceAnswer(const WholeAnswer &answer) const
{
    return answer.head.status == ServiceUnavailable && policy_->triesCap > 1;
}

bool IngressCall::mayTryAgain(const Failure &failure, const TryTarget &target)
{
    // The owner of a key is the only one who may run the call, and it has just said no.
    if (bodyConsumed_ || !key_.empty() || exchange_.callerGone()) {
        return false;
    }
    RetryRequest request;
    request.service = service_;
    request.verdict = failure.verdict;
    request.reason = failure.reason;
    request.triesDone = state_->tries();
    request.triesCap = policy_->triesCap;
    request.deadlineLeft = deadline_ - currentTime();
    request.expectedServiceTime = Microseconds(static_cast<std::int64_t>(target.expectedMicroseconds));
    const RetryDecision decision = controller_.retryPolicy_.decide(request);
    decisions_.retry(target.upstream, failure, decision);
    return decision == RetryDecision::Retry;
}

Result<TryTarget> IngressCall::chooseTarget()
{
    return key_.empty() ? chooseByLoad() : chooseOwner();
}

Result<TryTarget> IngressCall::chooseOwner()
{
    std::vector<UpstreamName> names;
    for (const UpstreamPolicy &policy : table_->upstreams(service_)) {
        names.push_back(policy.upstream);
    }
    const Result<KeyTarget> owner = controller_.keyRouter_.route(KeyText(key_), OwnerSet(std::move(names)));
    if (!owner) {
        return owner.error();
    }
    const auto instance = board_.membership.instance(owner.value().upstream, currentTime());
    if (!instance) {
        return mayHaveRun(Reason::KeyOutOfMemory, "the owner of the key is not listed", DefaultRetryAfter);
    }
    decisions_.owner(owner.value());
    TryTarget target;
    target.upstream = owner.value().upstream;
    target.node = instance->record->node;
    target.incarnation = owner.value().incarnation.value_or(Incarnation());
    target.link = linkBetween(board_.location, instance->record->location);
    return target;
}

Result<TryTarget> IngressCall::chooseByLoad()
{
    const TimePoint now = currentTime();
    const CandidateSet set = candidatesOf(board_, service_, now);
    const Result<Choice> choice = controller_.router_.choose({set.candidates, tried_, set.regionSpill, now});
    if (!choice) {
        return choice.error();
    }
    decisions_.route(choice.value(), set, tried_.size() + 1);
    TryTarget target;
    target.upstream = choice.value().upstream;
    target.node = set.nodes[choice.value().candidate];
    target.link = choice.value().link;
    target.expectedMicroseconds = choice.value().expectedMicroseconds;
    return target;
}

asio::awaitable<Result<CallOutcome>> IngressCall::send(TryTarget target, TryNumber number)
{
    cancellation_ = std::make_shared<Cancellation>();
    CallHead head = makeHead(target, number);
    if (!bodyWhole_) {
        co_return co_await sendUpload(std::move(target), std::move(head), number);
    }
    if (target.upstream == board_.self.upstream) {
        co_return co_await sendLocally(std::move(head), number);
    }
    const NodeIdentity answerer{target.upstream, target.incarnation};
    co_return co_await controller_.peers_.call(target.node, std::move(head), firstPiece_, receiver(number, answerer),
                                               permitFor(target.upstream, number), deadline_, cancellation_);
}

asio::awaitable<Result<CallOutcome>> IngressCall::sendLocally(CallHead head, TryNumber number)
{
    if (!permitFor(board_.self.upstream, number)(head)) {
        co_return notRun(Reason::Cancelled, "ended before the call was sent");
    }
    co_return co_await controller_.egress_.call(std::move(head), firstPiece_, receiver(number, board_.self),
                                                cancellation_);
}

asio::awaitable<Result<CallOutcome>> IngressCall::sendUpload(TryTarget target, CallHead head, TryNumber number)
{
    const NodeIdentity answerer{target.upstream, target.incarnation};
    std::shared_ptr<UploadSender> sender;
    if (target.upstream == board_.self.upstream) {
        if (!permitFor(target.upstream, number)(head)) {
            co_return notRun(Reason::Cancelled, "ended before the call was sent");
        }
        auto admission =
            co_await controller_.egress_.upload(std::move(head), receiver(number, answerer), cancellation_);
        if (auto *refusal = std::get_if<CallOutcome>(&admission)) {
            co_return std::move(*refusal);
        }
        sender = std::make_shared<LocalUpload>(std::get<std::shared_ptr<UploadReceiver>>(std::move(admission)));
    } else {
        auto admission =
            co_await controller_.peers_.upload(target.node, std::move(head), receiver(number, answerer),
                                               permitFor(target.upstream, number), deadline_, cancellation_);
        if (!admission) {
            co_return admission.error();
        }
        if (auto *refusal = std::get_if<CallOutcome>(&admission.value())) {
            co_return std::move(*refusal);
        }
        sender = std::get<std::shared_ptr<UploadSender>>(std::move(admission).value());
    }
    bodyConsumed_ = true;
    pumping_ = true;
    asio::co_spawn(controller_.executor_, pumpBody(sender, shared_from_this()), asio::detached);
    co_return co_await sender->outcome(deadline_, cancellation_);
}

asio::awaitable<void> IngressCall::pumpBody(std::shared_ptr<UploadSender> sender, std::shared_ptr<IngressCall> /*self*/)
{
    std::uint64_t length = firstPiece_.size();
    // After the sender took its last piece, the rest is read and dropped: the caller has to get rid of its body before
    // it reads the answer.
    bool wanted = co_await sender->write(std::move(firstPiece_));
    while (true) {
        Result<std::string> piece = co_await exchange_.readBody();
        bodyTooLarge_ = length > policy_->bodyCap.value();
        if (!piece || bodyTooLarge_) {
            cancellation_->cancel();
            break;
        }
        if (piece.value().empty()) {
            if (wanted) {
                co_await sender->end();
            }
            break;
        }
        length += piece.value().size();
        wanted = wanted && co_await sender->write(std::move(piece).value());
    }
    pumping_ = false;
    pumpEnd_.cancel();
}

asio::awaitable<void> IngressCall::waitForPump()
{
    if (pumping_) {
        boost::system::error_code ignored;
        co_await pumpEnd_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

std::shared_ptr<AnswerReceiver> IngressCall::receiver(TryNumber number, const NodeIdentity &answerer)
{
    return std::make_shared<CallerAnswer>(weak_from_this(), number, answerer);
}

CallHead IngressCall::makeHead(const TryTarget &target, TryNumber number) const
{
    const HttpRequestHead &request = exchange_.head();
    CallHead head;
    head.requestId = requestId_;
    head.attempt = number.value();
    head.ingress = board_.self;
    head.sequence = sequence_;
    head.targetIncarnation = target.incarnation;
    head.service = service_;
    head.method = request.method;
    head.target = request.target;
    head.headers = request.headers;
    head.headers.removeHopByHop();
    head.idempotencyKey = key_;
    head.callClass = classify(request.method, !bodyWhole_);
    head.contentLength = request.contentLength ? static_cast<std::int64_t>(*request.contentLength) : -1;
    head.repeatable = policy_->triesCap > 1;
    return head;
}

PeerClient::SendPermit IngressCall::permitFor(const UpstreamName &upstream, TryNumber number)
{
    return [this, self = shared_from_this(), upstream, number](CallHead &head) {
        const TimePoint now = currentTime();
        if (!state_->permitSending(number, now)) {
            return false;
        }
        head.remaining = std::chrono::duration_cast<Microseconds>(deadline_ - now);
        head.sentAt = std::chrono::duration_cast<Microseconds>(now.time_since_epoch());
        sentAt_ = now;
        head.wantsReport = board_.load.wantsReport(upstream, now);
        board_.load.onSent(upstream, now);
        sent_ = true;
        return true;
    };
}

asio::awaitable<void> IngressCall::answer(const CallOutcome &outcome, TryNumber number)
{
    if (!state_->answered(number)) {
        co_return;
    }
    const auto &whole = std::get<WholeAnswer>(outcome.result);
    HttpResponseHead head;
    head.status = whole.head.status;
    head.headers = whole.head.headers;
    decorate(head, outcome.identity);
    if (whole.replayed) {
        head.headers.set(HeaderNames::Replayed, "true");
    }
    count(Verdict::Answered, Reason::None);
    [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), whole.body);
}

void IngressCall::endStreamedAnswer(const Result<CallOutcome> &outcome)
{
    const bool whole = answerWhole_ && outcome && std::holds_alternative<StreamedAnswer>(outcome.value().result);
    if (whole) {
        count(Verdict::Answered, Reason::None);
        return;
    }
    // A part of the answer is with the caller; only a dropped connection tells it that the rest is missing.
    exchange_.abort();
    count(Verdict::MayHaveRun, Reason::BadAnswer);
}

asio::awaitable<void> IngressCall::finish(std::optional<Failure> failure)
{
    if (failure) {
        co_await respond(std::move(*failure));
    }
}

asio::awaitable<void> IngressCall::respond(Failure failure)
{
    count(failure.verdict, failure.reason);
    HttpResponseHead head = failureHead(failure);
    head.headers.set(HeaderNames::RequestId, requestId_.value());
    // A key that was refused once is never run again, so the caller needs another one.
    if (failure.verdict == Verdict::NotRun && !key_.empty()) {
        co_await addFreshKey(head);
    }
    [[maybe_unused]] const Result<void> sent = co_await exchange_.respond(std::move(head), failureBody(failure));
}

void IngressCall::decorate(HttpResponseHead &head, const NodeIdentity &answerer)
{
    head.headers.set(HeaderNames::VerdictName, std::string(toString(Verdict::Answered)));
    head.headers.set(HeaderNames::RequestId, requestId_.value());
    addNextKey(head, answerer);
}

asio::awaitable<void> IngressCall::addFreshKey(HttpResponseHead &head)
{
    const Result<std::vector<std::string>> keys = co_await controller_.keyIssuer_.issue(service_, 1);
    if (keys) {
        head.headers.set(HeaderNames::NextKey, keys.value().front());
    }
}

void IngressCall::addNextKey(HttpResponseHead &head, const NodeIdentity &answerer)
{
    const bool ofService = table_ && table_->upstream(answerer.upstream) != nullptr
        && table_->upstream(answerer.upstream)->service == service_;
    if (policy_ == nullptr || policy_->triesCap > 1 || !ofService || answerer.incarnation == Incarnation()) {
        return;
    }
    head.headers.set(HeaderNames::NextKey, controller_.keyIssuer_.issueFor(answerer));
}

void IngressCall::count(Verdict verdict, Reason reason)
{
    std::string labels = "service=\"";
    // Only names of the table become labels, so that callers can't make up series without end.
    labels.append(policy_ == nullptr ? "unknown" : service_.value());
    labels.append("\",verdict=\"").append(toString(verdict));
    labels.append("\",reason=\"").append(toString(reason)).append("\"");
    board_.metrics.count("egretpath_calls_total", labels);
    board_.metrics.record("egretpath_call_seconds", "", currentTime() - arrival_);
}

}

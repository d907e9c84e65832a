#include "node/egresscall.h"

#include <utility>

#include "core/currenttime.h"
#include "node/callclassification.h"
#include "node/headernames.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// Answers up to this size travel in one message and are held for keys.
constexpr std::size_t WholeAnswerLimit = 256UL * 1024;
/// The egress ends a call this much before the ingress's deadline, so that its verdict, which knows more, arrives
/// first.
constexpr Milliseconds DeadlineMargin{3};
constexpr Milliseconds DrainingRetryAfter{50};

WholeAnswer fromHeld(const HeldAnswer &held)
{
    WholeAnswer answer;
    answer.head.status = held.status;
    for (const HeldField &field : held.fields) {
        answer.head.headers.add(field.name, field.value);
    }
    answer.body = held.body;
    answer.replayed = true;
    return answer;
}

HeldAnswer toHeld(const WholeAnswer &answer)
{
    HeldAnswer held;
    held.status = answer.head.status;
    for (const HttpHeader &field : answer.head.headers) {
        held.fields.push_back({field.name, field.value});
    }
    held.body = answer.body;
    return held;
}

Digest fingerprintOf(const CallHead &head, const std::string &body)
{
    // An upload's body is not at hand when it has to be admitted; its length stands for it.
    const std::string length = std::to_string(head.contentLength);
    return digestOf(head.method + "\n" + head.target + "\n" + length + "\n" + body);
}

}

EgressCall::EgressCall(EgressController &controller, CallHead head, std::shared_ptr<AnswerReceiver> answer,
                       std::shared_ptr<Cancellation> cancellation)
    : controller_(controller)
    , head_(std::move(head))
    , answer_(std::move(answer))
    , cancellation_(std::move(cancellation))
    , tryId_{{head_.ingress.incarnation, CallSequence(head_.sequence)}, TryNumber(head_.attempt)}
    , slot_(controller.nextCallId())
    , arrival_(currentTime())
{
}

EgressCall::~EgressCall()
{
    if (begun_) {
        controller_.guard_.unknownOutcome(tryId_, currentTime());
    }
    releaseSlot(false);
}

asio::awaitable<std::optional<CallOutcome>> EgressCall::begin(const std::string &body)
{
    std::optional<CallOutcome> ended = co_await admit(body);
    if (!ended) {
        ended = co_await connect();
    }
    co_return ended;
}

asio::awaitable<std::optional<CallOutcome>> EgressCall::admit(const std::string &body)
{
    const BeginDecision decision = controller_.guard_.begin(describe(body), arrival_, std::chrono::system_clock::now());
    if (const auto *failure = std::get_if<Failure>(&decision)) {
        logPlacement("refused", failure);
        co_return outcome(*failure);
    }
    if (const auto *replay = std::get_if<ReplayAnswer>(&decision)) {
        logPlacement("replayed", nullptr);
        co_return outcome(fromHeld(*replay->answer));
    }
    begun_ = true;
    deadline_ = arrival_ + std::get<RunRequest>(decision).timeLeft - DeadlineMargin;
    if (controller_.board_.leaving.any()) {
        co_return refused(notRun(Reason::Draining, "the upstream leaves", DrainingRetryAfter));
    }
    if (auto failure =
            co_await controller_.slots_.acquire(slot_, toCallClass(head_.callClass), deadline_, cancellation_)) {
        co_return refused(std::move(*failure));
    }
    holdsSlot_ = true;
    co_return std::nullopt;
}

asio::awaitable<std::optional<CallOutcome>> EgressCall::connect()
{
    // A call that may not be repeated never goes over a connection that the upstream may be closing just now: the
    // failure would leave it unknown whether it ran.
    const auto choice = head_.repeatable ? HttpConnectionChoice::Pooled : HttpConnectionChoice::Fresh;
    auto opened = co_await controller_.pool_.open(controller_.board_.settings.upstream.address, deadline_, choice);
    if (!opened) {
        co_return refused(opened.error());
    }
    if (cancellation_->isCancelled()) {
        co_return refused(notRun(Reason::Cancelled, "cancelled before it was handed over"));
    }
    // A process that was paused here wakes up with the deadline behind it and must not hand the call over; the guard
    // looks at the time last.
    if (!controller_.guard_.handedOver(tryId_, currentTime())) {
        co_return refused(notRun(Reason::DeadlinePassed, "deadline passed before it was handed over"));
    }
    upstream_ = std::move(opened).value();
    cancellation_->setAction([weak = weak_from_this()] {
        if (const auto call = weak.lock()) {
            call->cancelUpstream();
        }
    });
    logPlacement("handed-over", nullptr);
    co_return std::nullopt;
}

asio::awaitable<void> EgressCall::sendWhole(std::string body)
{
    // A failure shows again when the answer is read, with what the upstream may have answered before it closed.
    [[maybe_unused]] const Result<void> sent = co_await upstream_->sendRequest(upstreamHead(), std::move(body));
}

bool EgressCall::beginStreaming()
{
    HttpRequestHead head = upstreamHead();
    head.contentLength = std::nullopt;
    if (head_.contentLength >= 0) {
        head.contentLength = static_cast<std::uint64_t>(head_.contentLength);
    }
    return upstream_->sendHead(head).has_value();
}

asio::awaitable<bool> EgressCall::sendPiece(std::string piece)
{
    const Result<void> sent = co_await upstream_->writeBody(std::move(piece));
    co_return sent.has_value();
}

asio::awaitable<void> EgressCall::finishStreaming()
{
    [[maybe_unused]] const Result<void> sent = co_await upstream_->finishRequest();
}

asio::awaitable<CallOutcome> EgressCall::readAnswer()
{
    Result<CallOutcome> received = co_await receive();
    cancellation_->clearAction();
    if (!received) {
        co_return lost(received.error());
    }
    co_return std::move(received).value();
}

asio::awaitable<Result<CallOutcome>> EgressCall::receive()
{
    Result<HttpResponseHead> head = co_await upstream_->readHead();
    if (!head) {
        co_return head.error();
    }
    head.value().headers.removeHopByHop();
    AnswerHead answerHead{head.value().status, std::move(head.value().headers)};
    std::string body;
    while (true) {
        Result<std::string> piece = co_await upstream_->readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            co_return answered(WholeAnswer{std::move(answerHead), std::move(body), false});
        }
        body += piece.value();
        if (body.size() > WholeAnswerLimit) {
            co_return co_await stream(std::move(answerHead), std::move(body));
        }
    }
}

asio::awaitable<Result<CallOutcome>> EgressCall::stream(AnswerHead head, std::string first)
{
    const Failure callerGone = mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
    if (!co_await answer_->begin(std::move(head)) || !co_await answer_->write(std::move(first))) {
        co_return callerGone;
    }
    while (true) {
        Result<std::string> piece = co_await upstream_->readBody();
        if (!piece) {
            co_return piece.error();
        }
        if (piece.value().empty()) {
            break;
        }
        if (!co_await answer_->write(std::move(piece).value())) {
            co_return callerGone;
        }
    }
    if (!co_await answer_->end()) {
        co_return callerGone;
    }
    // Too large to be held: a repeated key is told that it may have run.
    controller_.guard_.unknownOutcome(tryId_, currentTime());
    begun_ = false;
    releaseSlot(true);
    co_return outcome(StreamedAnswer{});
}

void EgressCall::cancelUpstream()
{
    if (upstream_) {
        upstream_->cancel();
    }
}

IncomingCall EgressCall::describe(const std::string &body) const
{
    IncomingCall call;
    call.tryId = tryId_;
    const bool anyIncarnation = head_.targetIncarnation == Incarnation();
    call.target = anyIncarnation ? controller_.board_.self.incarnation : head_.targetIncarnation;
    if (!head_.repeatable && !head_.idempotencyKey.empty()) {
        call.key = KeyText(head_.idempotencyKey);
    }
    call.fingerprint = fingerprintOf(head_, body);
    call.sentAt = head_.sentAt;
    call.timeLeft = head_.remaining;
    return call;
}

HttpRequestHead EgressCall::upstreamHead() const
{
    HttpRequestHead head;
    head.method = head_.method;
    head.target = head_.target;
    head.headers = head_.headers;
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline_ - currentTime());
    head.headers.set(HeaderNames::Deadline, std::to_string(left.count()));
    head.headers.set(HeaderNames::RequestId, head_.requestId.value());
    return head;
}

CallOutcome EgressCall::outcome(std::variant<Failure, WholeAnswer, StreamedAnswer> result) const
{
    // A refusal always says how things stand here, since it is to keep further calls away.
    std::optional<LoadReport> report;
    if (head_.wantsReport || std::holds_alternative<Failure>(result)) {
        report = controller_.report();
    }
    return {controller_.board_.self, report, std::move(result)};
}

CallOutcome EgressCall::refused(Failure failure)
{
    begun_ = false;
    Failure proved = controller_.guard_.refused(tryId_, std::move(failure), currentTime());
    releaseSlot(false);
    logPlacement("refused", &proved);
    return outcome(std::move(proved));
}

CallOutcome EgressCall::lost(Failure failure)
{
    begun_ = false;
    failure.verdict = Verdict::MayHaveRun;
    controller_.guard_.unknownOutcome(tryId_, currentTime());
    releaseSlot(false);
    logPlacement("lost", &failure);
    return outcome(std::move(failure));
}

CallOutcome EgressCall::answered(WholeAnswer answer)
{
    begun_ = false;
    const bool isHeld = !head_.repeatable && !head_.idempotencyKey.empty();
    controller_.guard_.finished(tryId_, isHeld ? toHeld(answer) : HeldAnswer(), currentTime());
    releaseSlot(true);
    return outcome(std::move(answer));
}

void EgressCall::releaseSlot(bool wasAnswered)
{
    if (std::exchange(holdsSlot_, false)) {
        controller_.slots_.release(slot_, wasAnswered);
    }
}

void EgressCall::logPlacement(std::string_view decision, const Failure *failure) const
{
    EventLog &log = controller_.board_.log;
    if (!log.admitsDecision(currentTime())) {
        return;
    }
    const LoadReport report = controller_.slots_.report();
    StructuredLine line("placement");
    line.add("request", head_.requestId.value()).add("try", std::uint64_t{head_.attempt});
    line.add("upstream", controller_.board_.self.upstream.value()).add("decision", decision);
    line.add("in_flight", std::uint64_t{report.inFlight}).add("queued", std::uint64_t{report.queued});
    line.add("slots", std::uint64_t{report.slots});
    if (failure != nullptr) {
        line.add("verdict", toString(failure->verdict)).add("reason", toString(failure->reason));
    }
    log.decision(line);
}

}

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

/// Answers up to this size travel in one message; beyond it, in pieces.
constexpr std::size_t CompleteAnswerLimit = std::size_t{1024} * 1024;
constexpr Milliseconds DrainingRetryAfter{50};
constexpr std::uint16_t FirstServerError = 500;
constexpr std::uint16_t GatewayTimeoutStatus = 504;
constexpr double BaselineSlowdown = 100.0;
/// So many times longer than usual, at the VM's pace, hardly any work takes.
constexpr double OverdueFactor = 2.5;
constexpr Milliseconds LeastOverdue{150};

/// Whether the upstream's end of the connection broke, not ours.
bool upstreamDisconnected(const Failure &failure)
{
    return failure.reason == Reason::ConnectionLost || failure.reason == Reason::BadAnswer;
}

}

UpstreamRequest::UpstreamRequest(EgressRole &role, CallHead head, std::string body,
                                 std::shared_ptr<AnswerReceiver> answer, std::shared_ptr<Cancellation> cancellation)
    : role_(role)
    , roleLife_(role.life_)
    , head_(std::move(head))
    , body_(std::move(body))
    , answer_(std::move(answer))
    , cancellation_(std::move(cancellation))
    , slot_(role.nextCallId())
    , arrival_(currentTime())
    , written_(role.executor_, asio::steady_timer::time_point::max())
    , overdueTimer_(role.executor_)
{
}

UpstreamRequest::~UpstreamRequest()
{
    if (!roleLife_.expired()) {
        role_.waiting_.erase(slot_);
        leaveUpstream(false);
        releaseSlot(false);
    }
}

void UpstreamRequest::endBecause(Failure failure)
{
    ended_ = std::move(failure);
    upstream_->cancel();
}

void UpstreamRequest::enterUpstream()
{
    atUpstream_ = true;
    role_.account_.begun(slot_);
    role_.atUpstream_.emplace(slot_, this);
    watchDuration();
}

void UpstreamRequest::leaveUpstream(bool answered)
{
    if (!std::exchange(atUpstream_, false)) {
        return;
    }
    answered ? role_.account_.answered(slot_) : role_.account_.givenUp(slot_);
    role_.atUpstream_.erase(slot_);
    overdueTimer_.cancel();
    if (std::exchange(overdue_, false)) {
        --role_.overdue_;
    }
}

void UpstreamRequest::watchDuration()
{
    const LoadReport report = role_.report(head_.route);
    const double slowdown = std::max(report.slowdownPercent / BaselineSlowdown, 1.0);
    const Duration baseline = scaled(Microseconds(report.serviceTimeMicroseconds), slowdown);
    overdueTimer_.expires_after(std::max<Duration>(scaled(baseline, OverdueFactor), LeastOverdue));
    overdueTimer_.async_wait([weak = weak_from_this()](const boost::system::error_code &error) {
        const auto request = weak.lock();
        if (!error && request && request->atUpstream_) {
            request->overdue_ = true;
            request->role_.noteOverdue();
        }
    });
}

asio::awaitable<CallOutcome> UpstreamRequest::run()
{
    const auto self = shared_from_this();
    if (auto refusal = co_await admit()) {
        CallOutcome ended = outcome(std::move(*refusal));
        logEnd(ended);
        co_return ended;
    }
    Result<CallOutcome> result =
        co_await attempt(head_.repeatable ? HttpConnectionChoice::Pooled : HttpConnectionChoice::Fresh);
    if (!result && mayAskAgain(result.error())) {
        // The upstream dropped the idle connection just as the request was sent. Nothing came back, and the request may
        // run again; a new connection does not meet that.
        result = co_await attempt(HttpConnectionChoice::Fresh);
        if (!result) {
            Failure failure = result.error();
            failure.verdict = Verdict::MayHaveRun;
            result = std::move(failure);
        }
    }
    cancellation_->clearAction();
    CallOutcome ended = result ? std::move(result).value() : outcome(result.error());
    const auto *failure = std::get_if<Failure>(&ended.result);
    releaseSlot(failure == nullptr);
    logEnd(ended);
    co_return ended;
}

asio::awaitable<std::optional<Failure>> UpstreamRequest::admit()
{
    // A request that waited in a stalled link or a paused process has less time left than its sender wrote.
    const TimePoint bootNow{std::chrono::duration_cast<Duration>(timeSinceBoot())};
    const Duration late = role_.lateness_.observe(head_.ingress.incarnation, head_.sentAt, bootNow);
    role_.recordArrival(late);
    deadline_ = arrival_ + head_.remaining - late;
    if (deadline_ <= arrival_) {
        co_return notRun(Reason::DeadlinePassed, "the request was too long on its way");
    }
    target_ = arrival_ + head_.targetLatencyLeft - late;
    if (role_.draining_) {
        co_return notRun(Reason::Draining, "the node beside the upstream stops", DrainingRetryAfter);
    }
    co_await role_.refreshSlowdown();
    if (auto rejection = role_.presence_.rejection(head_.targetUpstream)) {
        co_return rejection;
    }
    if (auto rejection = quarantineRejection()) {
        co_return rejection;
    }
    role_.recordHealth();
    const WorkOffer offer = makeOffer();
    if (head_.dryRun) {
        co_return role_.slots_.queue()
            .rejection(offer, currentTime())
            .value_or(notRun(Reason::None, "it would be taken"));
    }
    role_.waiting_.emplace(slot_, this);
    std::optional<Failure> refusal = co_await role_.slots_.acquire(offer, head_.targetUpstream, cancellation_);
    role_.waiting_.erase(slot_);
    holdsSlot_ = !refusal;
    co_return refusal;
}

WorkOffer UpstreamRequest::makeOffer() const
{
    WorkOffer offer;
    offer.call = slot_;
    offer.route = head_.route;
    offer.priority = head_.priority;
    offer.deadline = deadline_;
    offer.target = target_;
    offer.declineThreshold = head_.declineThreshold;
    offer.disconnectedUpstream = head_.disconnectedUpstream;
    return offer;
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::attempt(HttpConnectionChoice choice)
{
    // Not one conditional expression: g++ 12 destroys the temporaries of a co_await in one of its branches twice.
    if (auto unreached = co_await connect(choice)) {
        co_return std::move(*unreached);
    }
    co_return co_await exchange();
}

asio::awaitable<std::optional<Failure>> UpstreamRequest::connect(HttpConnectionChoice choice)
{
    // A request that may run once never goes over a connection that the upstream may be closing just now: the failure
    // would leave it unknown whether it ran.
    upstream_.reset();
    auto opened = co_await role_.pool_.open(role_.settings_.upstream, deadline_, choice);
    if (!opened) {
        co_return opened.error();
    }
    if (cancellation_->isCancelled()) {
        co_return notRun(Reason::Cancelled, "cancelled before it was handed over");
    }
    // A process that was paused here wakes with the deadline behind it and must not hand the request over.
    if (currentTime() >= deadline_) {
        co_return notRun(Reason::DeadlinePassed, "deadline passed before it was handed over");
    }
    if (auto rejection = role_.presence_.rejection(head_.targetUpstream)) {
        co_return rejection;
    }
    if (auto rejection = quarantineRejection()) {
        co_return rejection;
    }
    upstream_ = std::move(opened).value();
    cancellation_->setAction([weak = weak_from_this()] {
        const auto request = weak.lock();
        if (request && request->upstream_) {
            request->upstream_->cancel();
        }
    });
    handedOver_ = currentTime();
    co_return std::nullopt;
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::exchange()
{
    writing_ = true;
    enterUpstream();
    asio::co_spawn(role_.executor_, write(shared_from_this()), asio::detached);
    Result<CallOutcome> result = co_await readAnswer();
    leaveUpstream(false);
    co_await stopWriting();
    if (ended_ && !result) {
        if (ended_->reason == Reason::LostAtUpstream) {
            role_.recordAnswer(true);
        }
        co_return *ended_;
    }
    if (!result && upstreamDisconnected(result.error())) {
        const bool answeredRecently = role_.answers_.contains(content(), currentTime());
        role_.exitMonitor_.connectionBroke({head_.requestId, name_.of(content()), answeredRecently});
    }
    co_return result;
}

/// Runs beside readAnswer(): an upstream may answer before it has read a long body.
asio::awaitable<void> UpstreamRequest::write(std::shared_ptr<UpstreamRequest> /*self*/)
{
    // A failure shows again when the answer is read, with what the upstream may have answered before it closed.
    const Result<void> sent = co_await upstream_->sendRequest(upstreamHead(), body_);
    writing_ = false;
    if (sent && atUpstream_) {
        role_.account_.written(slot_, currentTime());
    }
    written_.cancel();
}

/// After an early answer the rest of the body is not sent on: the connection is closed instead, so that the upstream
/// never takes other bytes for it.
asio::awaitable<void> UpstreamRequest::stopWriting()
{
    if (writing_) {
        upstream_->cancel();
    }
    while (writing_) {
        boost::system::error_code ignored;
        co_await written_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::readAnswer()
{
    while (true) {
        Result<HttpResponseHead> head = co_await upstream_->readHead();
        if (!head) {
            co_return head.error();
        }
        const UpstreamAnswerMetadata metadata = role_.dialect_.read(head.value());
        const bool isOwn = metadata.request.value().empty() || metadata.request == head_.requestId;
        if (isOwn) {
            leaveUpstream(true);
        }
        std::string body;
        while (true) {
            Result<std::string> piece = co_await upstream_->readBody();
            if (!piece) {
                co_return piece.error();
            }
            if (piece.value().empty()) {
                break;
            }
            body += piece.value();
            if (body.size() > CompleteAnswerLimit) {
                co_return co_await stream(std::move(head).value(), std::move(body));
            }
        }
        // A faulty upstream may answer an earlier request twice; the second answer stands where this one's should be.
        if (isOwn) {
            co_return judge(std::move(head).value(), std::move(body), metadata);
        }
        role_.metrics_.count("egretpath_stray_answers_total");
    }
}

asio::awaitable<Result<CallOutcome>> UpstreamRequest::stream(HttpResponseHead head, std::string first)
{
    const Failure callerDisconnected = mayHaveRun(Reason::Cancelled, "the ingress takes no more of the answer");
    head.headers.removeHopByHop();
    AnswerHead answerHead{head.status, std::move(head.headers)};
    // One by one: g++ 12 destroys the temporaries of a co_await in a branch that was not taken.
    if (!co_await answer_->begin(std::move(answerHead))) {
        co_return callerDisconnected;
    }
    if (!co_await answer_->write(std::move(first))) {
        co_return callerDisconnected;
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
            co_return callerDisconnected;
        }
    }
    if (!co_await answer_->end()) {
        co_return callerDisconnected;
    }
    role_.recordAnswer(false);
    co_return outcome(StreamedAnswer{});
}

Result<CallOutcome> UpstreamRequest::judge(HttpResponseHead head, std::string body,
                                           const UpstreamAnswerMetadata &metadata)
{
    role_.take(metadata);
    if (metadata.wrongUpstream) {
        return notRun(Reason::WrongIncarnation, "another upstream has the address");
    }
    if (metadata.notRun) {
        role_.recordAnswer(true);
        return notRun(Reason::Shed, "the upstream refused it with status " + std::to_string(head.status));
    }
    if (!metadata.isComplete) {
        role_.recordAnswer(true);
        return mayHaveRun(Reason::BadAnswer, "the answer lacks what proves that it is the upstream's");
    }
    if (head.status < FirstServerError) {
        role_.answers_.record(content(), currentTime());
    }
    role_.recordAnswer(head.status >= FirstServerError && head.status != GatewayTimeoutStatus);
    head.headers.removeHopByHop();
    return outcome(CompleteAnswer{AnswerHead{head.status, std::move(head.headers)}, std::move(body)});
}

bool UpstreamRequest::mayAskAgain(const Failure &failure) const
{
    return head_.repeatable && failure.reason == Reason::ConnectionLost && upstream_ && upstream_->reused()
        && !cancellation_->isCancelled();
}

HttpRequestHead UpstreamRequest::upstreamHead() const
{
    HttpRequestHead head(head_.method, head_.target);
    head.headers = head_.headers;
    UpstreamMetadata terms;
    terms.left = std::max(std::chrono::duration_cast<Milliseconds>(deadline_ - currentTime()), Milliseconds{1});
    terms.target = head_.targetUpstream;
    terms.callerService = head_.callerService;
    role_.dialect_.decorate(head.headers, terms);
    return head;
}

CallOutcome UpstreamRequest::outcome(std::variant<Failure, CompleteAnswer, StreamedAnswer> result) const
{
    return {role_.self_, role_.report(head_.route), std::move(result), CatalogVersions()};
}

RequestContent UpstreamRequest::content() const
{
    const std::string_view host = head_.headers.find("Host").value_or(std::string_view());
    return {head_.method, host, head_.target, body_};
}

std::optional<Failure> UpstreamRequest::quarantineRejection()
{
    // A question comes without the body that is a part of the request's name.
    if (head_.dryRun) {
        return std::nullopt;
    }
    return name_.rejection(role_.quarantine_, content(), currentTime());
}

void UpstreamRequest::releaseSlot(bool answered)
{
    if (std::exchange(holdsSlot_, false)) {
        role_.slots_.release(slot_, answered);
    }
}

void UpstreamRequest::logEnd(const CallOutcome &ended) const
{
    const TimePoint end = currentTime();
    const auto *failure = std::get_if<Failure>(&ended.result);
    if (!role_.log_.admitsDecision(end, failure != nullptr ? DecisionWeight::Failure : DecisionWeight::Routine)) {
        return;
    }
    const auto *whole = std::get_if<CompleteAnswer>(&ended.result);
    StructuredLine line("egress");
    line.add("request", head_.requestId.value()).add("try", std::uint64_t{head_.attempt});
    line.add("upstream", head_.targetUpstream.value()).add("route", head_.route.value());
    line.add("running", std::uint64_t{ended.report->inFlight}).add("queued", std::uint64_t{ended.report->queued});
    line.add("limit", std::uint64_t{ended.report->slots}).add("pace", std::uint64_t{ended.report->slowdownPercent});
    line.add("left_ms", std::chrono::duration_cast<Milliseconds>(deadline_ - end).count());
    line.add("took_ms", std::chrono::duration_cast<Milliseconds>(end - arrival_).count());
    if (handedOver_ != TimePoint{}) {
        line.add("waited_ms", std::chrono::duration_cast<Milliseconds>(handedOver_ - arrival_).count());
    }
    if (failure != nullptr) {
        line.add("verdict", toString(failure->verdict)).add("reason", toString(failure->reason));
        line.add("detail", failure->detail);
    } else if (whole != nullptr) {
        line.add("status", std::uint64_t{whole->head.status});
    }
    role_.log_.decision(line);
}

}

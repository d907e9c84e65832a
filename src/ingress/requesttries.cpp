#include "ingress/requesttries.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/bootclock.h"
#include "core/currenttime.h"
#include "core/durations.h"
#include "routing/upstreamcandidates.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t FirstServerError = 500;

/// Whether the upstream, not the link to its node, disconnected while it ran the request.
bool upstreamDisconnected(const Result<CallOutcome> &outcome)
{
    const auto *failure = outcome ? std::get_if<Failure>(&outcome.value().result) : nullptr;
    if (failure == nullptr || failure->verdict != Verdict::MayHaveRun) {
        return false;
    }
    // ConnectFailed: the upstream was unreachable when the node sent the request again.
    return failure->reason == Reason::ConnectionLost || failure->reason == Reason::BadAnswer
        || failure->reason == Reason::ConnectFailed || failure->reason == Reason::KeptConnectionLost;
}

}

const Failure *TryEnd::failure() const
{
    return outcome ? std::get_if<Failure>(&outcome.value().result) : &outcome.error();
}

RequestTries::RequestTries(std::shared_ptr<IngressContext> context, RequestParameters parameters, TryContent content,
                           CallState state, std::function<void()> endedListener)
    : context_(std::move(context))
    , parameters_(std::move(parameters))
    , content_(std::move(content))
    , state_(std::move(state))
    , endedListener_(std::move(endedListener))
{
}

std::optional<Failure> RequestTries::start(const HttpRequestHead &head, const Endpoint &caller)
{
    // An earlier try may have taken long, and the stop of the node may have begun meanwhile.
    if (auto rejection = stopRejection(*context_, parameters_)) {
        return rejection;
    }
    if (auto rejection = quarantineRejection(head)) {
        return rejection;
    }
    if (auto rejection = shortageRejection()) {
        return rejection;
    }
    const UpstreamCandidates candidates = findCandidates(context_->sources.directory, context_->sources.evacuatedZones,
                                                         content_.service, *parameters_.route);
    const std::optional<PlacementChoice> choice = choose(candidates.allowed);
    if (!choice) {
        return noCandidateFailure(candidates);
    }
    const InstanceRecord *record = context_->sources.directory.find(candidates.allowed[choice->candidate].upstream);
    if (record == nullptr) {
        return notRun(Reason::NoUpstream, "the upstream left the list");
    }
    const Result<TryId> tryId = state_.startTry(NodeIdentity{record->id, Incarnation()}, currentTime());
    if (!tryId) {
        return tryId.error();
    }
    const RequestTryPointer requestTry = makeTry(tryId.value().number, *record, *choice);
    ++tryCount_;
    runningTries_.push_back(requestTry);
    logPlacement(*requestTry, *choice, caller, candidates.allowed.size());
    // The head is made now: if the caller disconnects, the exchange may end before the new coroutine starts.
    asio::co_spawn(context_->executor, send(requestTry, makeHead(*requestTry, head), shared_from_this()),
                   asio::detached);
    return std::nullopt;
}

std::optional<Failure> RequestTries::quarantineRejection(const HttpRequestHead &head)
{
    const std::string_view host = head.headers.find("Host").value_or(std::string_view());
    return fingerprint_.rejection(context_->sources.quarantine, {head.method, host, head.target, content_.body.view()},
                                  currentTime());
}

std::optional<Failure> RequestTries::shortageRejection()
{
    // Work that waits for a dependent call would be lost. A caller that comes back has been refused already.
    const bool isFirstTry = tryCount_ == 0;
    const bool isDependent = parameters_.targetTime >= parameters_.deadline;
    if (!isFirstTry || isDependent || parameters_.isComingBack()
        || !context_->room.refuses(content_.service, parameters_.priority, currentTime())) {
        return std::nullopt;
    }
    context_->requestLog.countRefusedShortOfRoom(content_.service);
    return notRun(Reason::Overloaded, "the service has no room");
}

std::uint32_t RequestTries::maxTries() const
{
    return context_->room.maxTries(content_.service, parameters_.priority, currentTime());
}

RequestTryPointer RequestTries::makeTry(TryNumber number, const InstanceRecord &record,
                                        const PlacementChoice &choice) const
{
    auto requestTry = std::make_shared<RequestTry>();
    requestTry->number = number;
    requestTry->upstream = record.id;
    requestTry->node = record.node;
    requestTry->link = choice.link;
    requestTry->cancellation = std::make_shared<Cancellation>();
    if (tryCount_ + 1 < maxTries() && choice.declineThreshold > Duration{0}) {
        requestTry->declineThreshold = scaled(choice.declineThreshold, context_->settings.declineMargin);
    }
    return requestTry;
}

/// If no other upstream is left, upstreams that declined are tried again, and the chosen one must not decline again.
std::optional<PlacementChoice> RequestTries::choose(const std::vector<PlacementCandidate> &candidates)
{
    const std::uint32_t maxDeclines = maxTries() - 1;
    PlacementRequest request;
    request.candidates = candidates;
    request.demand.baselineTime = context_->baselineTime(*parameters_.route);
    request.demand.isUrgent = parameters_.isUrgent();
    request.demand.priority = parameters_.priority;
    request.now = currentTime();
    request.targetLeft = parameters_.targetTime - request.now;
    const std::uint64_t answerSize = context_->sizes.typicalAnswerSize(parameters_.route->name).value();
    request.demand.isLargeAnswer = answerSize > MaxChunkBytes;
    request.bodies = Bytes(content_.body.size() + answerSize);
    std::vector<UpstreamName> excluded = failedUpstreams_;
    const bool mayBeDeclined = tryCount_ < maxDeclines;
    if (mayBeDeclined) {
        excluded.insert(excluded.end(), declinedUpstreams_.begin(), declinedUpstreams_.end());
    }
    request.excluded = excluded;
    auto choice = context_->placement.choose(request);
    if (!choice && mayBeDeclined) {
        tryCount_ = maxDeclines;
        request.excluded = failedUpstreams_;
        choice = context_->placement.choose(request);
    }
    return choice;
}

asio::awaitable<void> RequestTries::send(RequestTryPointer requestTry, CallHead head,
                                         std::shared_ptr<RequestTries> /*self*/)
{
    std::optional<Result<CallOutcome>> outcome;
    const TimePoint sentAt = currentTime();
    const std::uint32_t priority = parameters_.priority;
    context_->view.onSent(requestTry->upstream);
    context_->room.onSent(content_.service, priority, sentAt);
    if (requestTry->node == context_->localNode.endpoint) {
        outcome = co_await sendLocally(requestTry, std::move(head));
    } else {
        outcome = co_await sendToPeer(requestTry, std::move(head));
    }
    context_->view.onEnded(requestTry->upstream);
    context_->recordOutcome(parameters_.route->name, requestTry->upstream, requestTry->node, *outcome);
    context_->recordCapacity(content_.service, priority, sentAt, *outcome);
    if (upstreamDisconnected(*outcome)) {
        disconnectedUpstream_ = requestTry->upstream;
    }
    std::erase(runningTries_, requestTry);
    endedTries_.push_back({requestTry, std::move(*outcome)});
    endedListener_();
}

asio::awaitable<Result<CallOutcome>> RequestTries::sendLocally(RequestTryPointer requestTry, CallHead head)
{
    if (!permitSending(*requestTry, head)) {
        co_return notRun(Reason::Cancelled, "ended before it was sent");
    }
    co_return co_await context_->egress.call(std::move(head), content_.body, content_.makeReceiver(*requestTry),
                                             requestTry->cancellation);
}

asio::awaitable<Result<CallOutcome>> RequestTries::sendToPeer(RequestTryPointer requestTry, CallHead head)
{
    if (content_.body.size() > context_->settings.maxBodyWithoutDryRun && head.declineThreshold > Microseconds{0}) {
        if (auto refused = co_await sendDryRun(requestTry, head)) {
            co_return std::move(*refused);
        }
        head.declineThreshold = Microseconds{0};
    }
    const auto permit = [this, requestTry](CallHead &sentHead) {
        if (!permitSending(*requestTry, sentHead)) {
            return false;
        }
        if (context_->linkPacer != nullptr) {
            context_->linkPacer->recordShortMessage(Bytes(content_.body.size()));
        }
        return true;
    };
    co_return co_await context_->peers.call(requestTry->node, std::move(head), content_.body,
                                            content_.makeReceiver(*requestTry), permit, parameters_.deadline,
                                            requestTry->cancellation);
}

asio::awaitable<std::optional<Result<CallOutcome>>> RequestTries::sendDryRun(RequestTryPointer requestTry,
                                                                             CallHead dryRunHead)
{
    dryRunHead.dryRun = true;
    const auto permit = [this](CallHead &sentHead) {
        setTimes(sentHead);
        return true;
    };
    // A variable, because g++ 12 destroys aggregate temporaries of a co_await expression twice.
    auto outcome = co_await context_->peers.call(requestTry->node, std::move(dryRunHead), RequestBody(),
                                                 content_.makeReceiver(*requestTry), permit, parameters_.deadline,
                                                 requestTry->cancellation);
    TryEnd dryRunEnd{requestTry, std::move(outcome)};
    const Failure *rejection = dryRunEnd.failure();
    if (rejection == nullptr || rejection->reason == Reason::None) {
        co_return std::nullopt;
    }
    Failure failure = *rejection;
    // However the dry run ended, the request itself was not sent.
    failure.verdict = Verdict::NotRun;
    if (!dryRunEnd.outcome) {
        co_return Result<CallOutcome>(std::move(failure));
    }
    dryRunEnd.outcome.value().result = std::move(failure);
    co_return std::move(dryRunEnd.outcome);
}

bool RequestTries::permitSending(RequestTry &requestTry, CallHead &head)
{
    if (!state_.permitSending(requestTry.number, currentTime())) {
        return false;
    }
    setTimes(head);
    requestTry.wasSent = true;
    return true;
}

void RequestTries::setTimes(CallHead &head) const
{
    const TimePoint sentAt = currentTime();
    head.remaining = std::chrono::duration_cast<Microseconds>(parameters_.deadline - sentAt);
    head.targetLatencyLeft = std::chrono::duration_cast<Microseconds>(parameters_.targetTime - sentAt);
    head.sentAt = timeSinceBoot();
}

CallHead RequestTries::makeHead(const RequestTry &requestTry, const HttpRequestHead &request) const
{
    const Route &route = *parameters_.route;
    CallHead head;
    head.requestId = parameters_.caller.request;
    head.attempt = requestTry.number.value();
    head.ingress = context_->localNode.self;
    head.service = content_.service;
    head.method = request.method;
    head.target = request.target;
    head.headers = request.headers;
    head.headers.removeHopByHop();
    head.isRepeatable = isIdempotent(route.kind) && !needsNewConnection_;
    head.targetUpstream = requestTry.upstream;
    head.callerService = context_->localNode.service;
    head.route = route.name;
    head.priority = static_cast<std::uint8_t>(std::min<std::uint32_t>(parameters_.priority, UINT8_MAX));
    head.isDependent = parameters_.isDependent;
    head.declineThreshold = std::chrono::duration_cast<Microseconds>(requestTry.declineThreshold);
    head.disconnectedUpstream = disconnectedUpstream_;
    head.routesVersion = parameters_.routes->version();
    return head;
}

TryEnd RequestTries::takeEndedTry()
{
    TryEnd ended = std::move(endedTries_.front());
    endedTries_.pop_front();
    return ended;
}

void RequestTries::cancelAll()
{
    // A copy, because a cancelled try may end at once and remove itself from runningTries_.
    const std::vector<RequestTryPointer> runningTries = runningTries_;
    for (const RequestTryPointer &requestTry : runningTries) {
        requestTry->cancellation->cancel();
    }
}

/// Whether the upstream itself may have got the request. The request then counts as sent to it.
bool RequestTries::reachedUpstream(const RequestTry &requestTry, const Failure &failure) const
{
    const bool refusedByUpstream = failure.reason == Reason::Shed || failure.reason == Reason::WrongIncarnation;
    return refusedByUpstream || (failure.verdict != Verdict::NotRun && requestTry.wasSent);
}

NextStep RequestTries::recordFailure(const RequestTry &requestTry, const Failure &failure)
{
    const bool isKeptConnection = failure.reason == Reason::KeptConnectionLost;
    needsNewConnection_ = needsNewConnection_ || isKeptConnection;
    if (!reachedUpstream(requestTry, failure)) {
        declinedUpstreams_.push_back(requestTry.upstream);
    } else {
        recordReached(requestTry.upstream);
        // A sound upstream closes connections that were idle for long, so that the request may go to it again.
        if (!isKeptConnection) {
            failedUpstreams_.push_back(requestTry.upstream);
        }
    }
    return state_.onTryFailed(requestTry.number, failure);
}

void RequestTries::recordReached(const UpstreamName &upstream)
{
    if (std::find(reachedUpstreams_.begin(), reachedUpstreams_.end(), upstream) == reachedUpstreams_.end()) {
        reachedUpstreams_.push_back(upstream);
    }
}

bool RequestTries::mayRetry(const RequestTry &requestTry, const Failure &failure)
{
    // The last try may not be declined for another upstream: its node has no memory for the body.
    const bool isLastDeclined = failure.reason == Reason::Declined && requestTry.declineThreshold <= Duration{0};
    const bool isFinal = failure.reason == Reason::Cancelled || failure.reason == Reason::DeadlinePassed
        || failure.reason == Reason::CrashesUpstreams || isLastDeclined;
    if (isFinal) {
        return false;
    }
    if (!reachedUpstream(requestTry, failure)) {
        // Another upstream may have a turn left, and asking costs little.
        if (failure.reason == Reason::RateLimited) {
            return tryCount_ < context_->settings.maxLimitedTries;
        }
        // The last of maxTries() tries is sent to the best of all upstreams, which must not decline it. If that
        // upstream can't take the request in time, the others can't either.
        return failure.reason != Reason::Overloaded
            || context_->room.mayTryAgain(content_.service, parameters_.priority, tryCount_, currentTime());
    }
    return reachedUpstreams_.size() < parameters_.route->maxAttempts && context_->budget.spend(content_.service);
}

bool RequestTries::mayRetryAfterAnswer(const CallOutcome &answer) const
{
    const auto *complete = std::get_if<CompleteAnswer>(&answer.result);
    return complete != nullptr && complete->head.status >= FirstServerError && isIdempotent(parameters_.route->kind)
        && reachedUpstreams_.size() + 1 < parameters_.route->maxAttempts && context_->budget.canSpend(content_.service);
}

void RequestTries::logPlacement(const RequestTry &requestTry, const PlacementChoice &choice, const Endpoint &caller,
                                std::size_t candidateCount) const
{
    const PlacedTry placed{parameters_.caller.request,
                           requestTry.number.value(),
                           *parameters_.route,
                           content_.service,
                           caller,
                           requestTry.upstream,
                           choice,
                           candidateCount,
                           parameters_.deadline - currentTime(),
                           parameters_.routes->version(),
                           context_->sources.directory.revision(),
                           parameters_.priority,
                           parameters_.isDependent};
    context_->requestLog.recordPlacement(placed);
}

}

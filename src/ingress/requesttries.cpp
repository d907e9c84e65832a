#include "ingress/requesttries.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/bootclock.h"
#include "core/currenttime.h"
#include "core/durations.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t FirstServerError = 500;

/// Whether the upstream, not the way to its node, broke off while it ran the request.
bool upstreamDisconnected(const Result<CallOutcome> &outcome)
{
    const auto *failure = outcome ? std::get_if<Failure>(&outcome.value().result) : nullptr;
    if (failure == nullptr || failure->verdict != Verdict::MayHaveRun) {
        return false;
    }
    // ConnectFailed: it was gone when the node asked it again.
    return failure->reason == Reason::ConnectionLost || failure->reason == Reason::BadAnswer
        || failure->reason == Reason::ConnectFailed;
}

}

const Failure *TryEnd::failure() const
{
    return outcome ? std::get_if<Failure>(&outcome.value().result) : &outcome.error();
}

RequestTries::RequestTries(std::shared_ptr<IngressContext> context, RequestTerms terms, TryContent content,
                           CallState state, std::function<void()> ended)
    : context_(std::move(context))
    , terms_(std::move(terms))
    , content_(std::move(content))
    , state_(std::move(state))
    , endedListener_(std::move(ended))
{
}

std::optional<Failure> RequestTries::start(const HttpRequestHead &head, const Endpoint &caller)
{
    if (auto rejection = quarantineRejection(head)) {
        return rejection;
    }
    std::vector<PlacementCandidate> all = candidates();
    const std::optional<PlacementChoice> choice = choose(all);
    if (!choice) {
        return notRun(Reason::NoUpstream, all.empty() ? "no upstream is listed" : "no upstream is left to ask");
    }
    const InstanceRecord *record = context_->sources.directory.find(all[choice->candidate].upstream);
    if (record == nullptr) {
        return notRun(Reason::NoUpstream, "the upstream left the list");
    }
    const Result<TryId> tryId = state_.startTry(NodeIdentity{record->id, Incarnation()}, currentTime());
    if (!tryId) {
        return tryId.error();
    }
    const RequestTryPointer which = makeTry(tryId.value().number, *record, *choice);
    ++asked_;
    underWay_.push_back(which);
    logPlacement(*which, *choice, caller, all.size());
    // The head is made here: when the caller leaves, the exchange ends before a try that was only just begun.
    asio::co_spawn(context_->executor, send(which, makeHead(*which, head), shared_from_this()), asio::detached);
    return std::nullopt;
}

std::optional<Failure> RequestTries::quarantineRejection(const HttpRequestHead &head)
{
    const std::string_view host = head.headers.find("Host").value_or(std::string_view());
    return name_.rejection(context_->sources.quarantine, {head.method, host, head.target, content_.body},
                           currentTime());
}

RequestTryPointer RequestTries::makeTry(TryNumber number, const InstanceRecord &record,
                                        const PlacementChoice &choice) const
{
    auto which = std::make_shared<RequestTry>();
    which->number = number;
    which->upstream = record.id;
    which->node = record.node;
    which->link = choice.link;
    which->cancellation = std::make_shared<Cancellation>();
    if (asked_ < context_->settings.maxQueries && choice.declineThreshold > Duration{0}) {
        which->declineThreshold = scaled(choice.declineThreshold, context_->settings.declineMargin);
    }
    return which;
}

/// Those that declined are asked again when no other is left: one of them has to take the request.
std::optional<PlacementChoice> RequestTries::choose(std::vector<PlacementCandidate> &candidates)
{
    const std::uint32_t maxQueries = context_->settings.maxQueries;
    PlacementRequest request;
    request.candidates = candidates;
    request.demand.baselineTime = context_->baselineTime(*terms_.route);
    request.demand.urgent = terms_.isUrgent();
    request.now = currentTime();
    request.targetLeft = terms_.target - request.now;
    request.bodies = Bytes(content_.body.size() + context_->sizes.typicalAnswerSize(terms_.route->name).value());
    std::vector<UpstreamName> excluded = reached_;
    const bool asksOn = asked_ < maxQueries;
    if (asksOn) {
        excluded.insert(excluded.end(), declined_.begin(), declined_.end());
    }
    request.excluded = excluded;
    auto choice = context_->placement.choose(request);
    if (!choice && asksOn) {
        asked_ = maxQueries;
        request.excluded = reached_;
        choice = context_->placement.choose(request);
    }
    return choice;
}

std::vector<PlacementCandidate> RequestTries::candidates() const
{
    std::vector<PlacementCandidate> all;
    for (const InstanceRecord *record : context_->sources.directory.ready(content_.service)) {
        all.push_back({record->id, record->location, record->warmUp.count() > 0});
    }
    return all;
}

asio::awaitable<void> RequestTries::send(RequestTryPointer which, CallHead head, std::shared_ptr<RequestTries> /*self*/)
{
    std::optional<Result<CallOutcome>> outcome;
    context_->view.onSent(which->upstream);
    if (which->node == context_->place.node) {
        outcome = co_await sendHere(which, std::move(head));
    } else {
        outcome = co_await sendToPeer(which, std::move(head));
    }
    context_->view.onEnded(which->upstream);
    context_->learn(terms_.route->name, which->upstream, which->node, *outcome);
    if (upstreamDisconnected(*outcome)) {
        disconnectedUpstream_ = which->upstream;
    }
    std::erase(underWay_, which);
    ended_.push_back({which, std::move(*outcome)});
    endedListener_();
}

asio::awaitable<Result<CallOutcome>> RequestTries::sendHere(RequestTryPointer which, CallHead head)
{
    if (!permitSending(*which, head)) {
        co_return notRun(Reason::Cancelled, "ended before it was sent");
    }
    co_return co_await context_->egress.call(std::move(head), content_.body, content_.makeReceiver(which->number),
                                             which->cancellation);
}

asio::awaitable<Result<CallOutcome>> RequestTries::sendToPeer(RequestTryPointer which, CallHead head)
{
    if (content_.body.size() > context_->settings.bodyToAskFor && head.declineThreshold > Microseconds{0}) {
        if (auto refused = co_await askFirst(which, head)) {
            co_return std::move(*refused);
        }
        head.declineThreshold = Microseconds{0};
    }
    const auto permit = [this, which](CallHead &sent) { return permitSending(*which, sent); };
    co_return co_await context_->peers.call(which->node, std::move(head), content_.body,
                                            content_.makeReceiver(which->number), permit, terms_.deadline,
                                            which->cancellation);
}

asio::awaitable<std::optional<Result<CallOutcome>>> RequestTries::askFirst(RequestTryPointer which, CallHead query)
{
    query.dryRun = true;
    const auto permit = [this](CallHead &asked) {
        stamp(asked);
        return true;
    };
    // Named first: g++ 12 destroys aggregate temporaries of a co_await expression twice.
    auto outcome = co_await context_->peers.call(which->node, std::move(query), std::string(),
                                                 content_.makeReceiver(which->number), permit, terms_.deadline,
                                                 which->cancellation);
    TryEnd asked{which, std::move(outcome)};
    const Failure *rejection = asked.failure();
    if (rejection == nullptr || rejection->reason == Reason::None) {
        co_return std::nullopt;
    }
    Failure failure = *rejection;
    // Whatever became of the question, the request itself was not sent.
    failure.verdict = Verdict::NotRun;
    if (!asked.outcome) {
        co_return Result<CallOutcome>(std::move(failure));
    }
    asked.outcome.value().result = std::move(failure);
    co_return std::move(asked.outcome);
}

bool RequestTries::permitSending(RequestTry &which, CallHead &head)
{
    if (!state_.permitSending(which.number, currentTime())) {
        return false;
    }
    stamp(head);
    which.sent = true;
    return true;
}

void RequestTries::stamp(CallHead &head) const
{
    const TimePoint sentAt = currentTime();
    head.remaining = std::chrono::duration_cast<Microseconds>(terms_.deadline - sentAt);
    head.targetLatencyLeft = std::chrono::duration_cast<Microseconds>(terms_.target - sentAt);
    head.sentAt = timeSinceBoot();
}

CallHead RequestTries::makeHead(const RequestTry &which, const HttpRequestHead &request) const
{
    const Route &route = *terms_.route;
    CallHead head;
    head.requestId = terms_.caller.request;
    head.attempt = which.number.value();
    head.ingress = context_->place.self;
    head.service = content_.service;
    head.method = request.method;
    head.target = request.target;
    head.headers = request.headers;
    head.headers.removeHopByHop();
    head.repeatable = route.kind == RequestKind::Safe;
    head.targetUpstream = which.upstream;
    head.callerService = context_->place.service;
    head.route = route.name;
    head.priority = static_cast<std::uint8_t>(std::min<std::uint32_t>(route.priority, UINT8_MAX));
    head.declineThreshold = std::chrono::duration_cast<Microseconds>(which.declineThreshold);
    head.disconnectedUpstream = disconnectedUpstream_;
    return head;
}

TryEnd RequestTries::takeEnded()
{
    TryEnd ended = std::move(ended_.front());
    ended_.pop_front();
    return ended;
}

void RequestTries::cancelAll()
{
    // Copied: a cancelled try may end at once.
    const std::vector<RequestTryPointer> underWay = underWay_;
    for (const RequestTryPointer &which : underWay) {
        which->cancellation->cancel();
    }
}

/// Whether the upstream itself may have got the request, which then counts as a sending to it.
bool RequestTries::reachedUpstream(const RequestTry &which, const Failure &failure) const
{
    const bool refusedByUpstream = failure.reason == Reason::Shed || failure.reason == Reason::WrongIncarnation;
    return refusedByUpstream || (failure.verdict != Verdict::NotRun && which.sent);
}

NextStep RequestTries::noteFailed(const RequestTry &which, const Failure &shown)
{
    std::vector<UpstreamName> &list = reachedUpstream(which, shown) ? reached_ : declined_;
    list.push_back(which.upstream);
    return state_.tryFailed(which.number, shown);
}

bool RequestTries::mayRepeat(const RequestTry &which, const Failure &failure)
{
    const bool isFinal = failure.reason == Reason::Cancelled || failure.reason == Reason::DeadlinePassed
        || failure.reason == Reason::CrashesUpstreams;
    if (isFinal) {
        return false;
    }
    if (!reachedUpstream(which, failure)) {
        // The best of all that were asked can't take it in time: the others can't either.
        return !(failure.reason == Reason::Overloaded && asked_ > context_->settings.maxQueries);
    }
    return reached_.size() < terms_.route->maxAttempts && context_->budget.spend(content_.service);
}

bool RequestTries::mayReplace(const CallOutcome &answer) const
{
    const auto *whole = std::get_if<CompleteAnswer>(&answer.result);
    return whole != nullptr && whole->head.status >= FirstServerError && terms_.route->kind == RequestKind::Safe
        && reached_.size() + 1 < terms_.route->maxAttempts && context_->budget.canSpend(content_.service);
}

void RequestTries::logPlacement(const RequestTry &which, const PlacementChoice &choice, const Endpoint &caller,
                                std::size_t candidateCount) const
{
    const PlacedTry placed{terms_.caller.request,
                           which.number.value(),
                           *terms_.route,
                           content_.service,
                           caller,
                           which.upstream,
                           choice,
                           candidateCount,
                           terms_.deadline - currentTime(),
                           terms_.routes->version(),
                           context_->sources.directory.revision()};
    context_->requestLog.placed(placed);
}

}

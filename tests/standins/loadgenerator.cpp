#include "standins/loadgenerator.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "standins/querytarget.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr Bytes LargestAnswer{std::uint64_t{64} * 1024 * 1024};
constexpr std::size_t PaymentBytes = 300;
/// The system answers with a verdict when the deadline passes; the caller gives that answer time to arrive.
constexpr Milliseconds VerdictGrace{500};
constexpr Milliseconds FirstRetryPause{20};
constexpr Milliseconds DrainPoll{5};

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/// Every call may have a connection of its own: the load tool must not be what holds calls back.
HttpPoolLimits poolLimits(const LoadPlan &plan)
{
    HttpPoolLimits limits;
    limits.connections = plan.maxInFlight * 2;
    limits.connectionsPerEndpoint = plan.maxInFlight;
    limits.idleTime = std::chrono::seconds(20);
    return limits;
}

std::string drawRunId()
{
    std::random_device device;
    return toHex(Digest{device(), device()}).substr(8, 8) + toHex(Digest{device(), device()}).substr(8, 8);
}

std::string headerOf(const HttpResponseHead &head, std::string_view name)
{
    return std::string(head.headers.find(name).value_or(std::string_view()));
}

/// What a response without the system's verdict header says: that of an upstream, which sheds with 503.
Verdict plainVerdict(bool direct, std::uint16_t status)
{
    if (status == OkStatus) {
        return Verdict::Answered;
    }
    return direct && status == UnavailableStatus ? Verdict::NotRun : Verdict::MayHaveRun;
}

CallOutcome outcomeOf(const Failure &failure)
{
    CallOutcome outcome;
    outcome.verdict = failure.verdict;
    outcome.reason = std::string(toString(failure.reason));
    outcome.cut = true;
    return outcome;
}

}

LoadGenerator::LoadGenerator(asio::any_io_executor executor, LoadPlan plan)
    : plan_(std::move(plan))
    , pool_(std::move(executor), poolLimits(plan_))
    , keys_(pool_, plan_.keySource, plan_.seed)
    , history_(plan_.historyFile)
    , uploadContent_(plan_.uploadBytes, 'u')
    , runId_(drawRunId())
{
}

asio::awaitable<void> LoadGenerator::run()
{
    const auto executor = co_await asio::this_coro::executor;
    const TimePoint start = now();
    const TimePoint end = start + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(plan_.seconds));
    LoadArrivals arrivals(plan_);
    asio::steady_timer timer(executor);
    for (std::uint64_t sent = 0; sent < plan_.calls; ++sent) {
        const LoadArrivals::Arrival arrival = arrivals.next();
        if (start + arrival.time >= end) {
            break;
        }
        timer.expires_at(start + arrival.time);
        co_await timer.async_wait(asio::use_awaitable);
        if (inFlight_ >= plan_.maxInFlight) {
            summary_.addNotSent();
            continue;
        }
        ++inFlight_;
        asio::co_spawn(
            executor, [this, arrival, start] { return perform(arrival, start); }, asio::detached);
    }
    while (inFlight_ > 0) {
        co_await sleepFor(DrainPoll);
    }
}

asio::awaitable<void> LoadGenerator::perform(LoadArrivals::Arrival arrival, TimePoint start)
{
    Call call;
    call.kind = arrival.kind;
    call.direct = arrival.direct;
    call.service = plan_.services[lastService_++ % plan_.services.size()];
    call.arrival = start + arrival.time;
    call.deadline = call.arrival + Milliseconds(plan_.deadlineMilliseconds);
    call.body = bodyOf(call.kind);
    Endpoint target = nextTarget(call.direct);
    if (call.kind != CallKind::Lookup && !call.direct && plan_.keySource != KeySource::None) {
        const auto key = co_await keys_.take(call.service, target);
        call.key = key.value_or(std::string());
        if (!key) {
            summary_.addMissingKey();
        }
    }
    CallOutcome outcome = co_await attempt(call, target);
    for (unsigned retry = 0; retry < plan_.callerRetries && outcome.verdict != Verdict::Answered; ++retry) {
        const bool safe = outcome.verdict == Verdict::NotRun || call.kind == CallKind::Lookup || !call.key.empty();
        const Duration pause = std::max(outcome.retryAfter, FirstRetryPause * (1U << std::min(retry, 8U)));
        if (!safe || now() + pause >= call.deadline) {
            break;
        }
        co_await sleepFor(pause);
        summary_.addRetry();
        // A refused key is never run again; its refusal carries a fresh one. But a try that may have run keeps its key,
        // or the call could run twice.
        if (outcome.verdict == Verdict::NotRun && !call.keyMayHaveRun && !call.key.empty()
            && !outcome.nextKey.empty()) {
            call.key = outcome.nextKey;
        }
        target = nextTarget(call.direct);
        outcome = co_await attempt(call, target);
    }
    const TimePoint ended = now();
    summary_.addCall(call.kind, call.direct, outcome, ended - call.arrival, ended <= call.deadline);
    --inFlight_;
}

asio::awaitable<CallOutcome> LoadGenerator::attempt(Call &call, Endpoint target)
{
    const RequestId id(runId_ + "-" + std::to_string(++lastCall_));
    call.ids.push_back(id.value());
    history_.invocation(id, call.key, ServiceName(call.service), call.kind == CallKind::Lookup, target, call.body);
    CallOutcome outcome = co_await exchange(call, target);
    // A caller that could not connect knows nothing new of a key that it had sent before.
    if (outcome.cut && call.keyMayHaveRun) {
        outcome.verdict = Verdict::MayHaveRun;
    }
    call.keyMayHaveRun = call.keyMayHaveRun || (outcome.verdict == Verdict::MayHaveRun && !call.key.empty());
    history_.outcome(id, outcome);
    co_return outcome;
}

asio::awaitable<CallOutcome> LoadGenerator::exchange(Call &call, Endpoint target)
{
    auto opened = co_await pool_.open(std::move(target), call.deadline + VerdictGrace);
    if (!opened) {
        co_return outcomeOf(opened.error());
    }
    HttpClientCall &connection = *opened.value();
    const HttpRequestHead request = headOf(call);
    // A failed write is no outcome yet: the other side may have refused early, and its answer says so.
    const auto sent = co_await connection.sendRequest(request, call.body);
    if (!sent && !connection.firstByteSent()) {
        co_return outcomeOf(sent.error());
    }
    const auto head = co_await connection.readHead();
    if (!head) {
        co_return outcomeOf(head.error());
    }
    auto body = co_await connection.readWholeBody(LargestAnswer);
    co_return judge(call, head.value(), std::move(body));
}

CallOutcome LoadGenerator::judge(const Call &call, const HttpResponseHead &head, Result<std::string> body)
{
    if (!body) {
        CallOutcome outcome = outcomeOf(body.error());
        outcome.status = head.status;
        return outcome;
    }
    CallOutcome outcome;
    outcome.status = head.status;
    outcome.reason = headerOf(head, "Egretpath-Reason");
    outcome.echo = RequestId(headerOf(head, "Standin-Request-Id"));
    const auto said = verdictFromString(headerOf(head, "Egretpath-Verdict"));
    outcome.verdict = said.value_or(plainVerdict(call.direct, head.status));
    outcome.answer = std::move(body.value());
    outcome.retryAfter = retryAfterOf(head);
    outcome.nextKey = headerOf(head, "Egretpath-Next-Key");
    // The fresh key of a refusal belongs to the call that was refused.
    if (outcome.verdict != Verdict::NotRun) {
        keys_.offer(call.service, head.headers.find("Egretpath-Next-Key"));
    }
    if (outcome.verdict == Verdict::Answered && head.status == OkStatus) {
        checkAnswer(call, head, outcome.answer);
    }
    return outcome;
}

Milliseconds LoadGenerator::retryAfterOf(const HttpResponseHead &head)
{
    if (const auto milliseconds = parseUnsigned(headerOf(head, "Egretpath-Retry-After-Ms"))) {
        return Milliseconds(*milliseconds);
    }
    return std::chrono::seconds(parseUnsigned(headerOf(head, "Retry-After")).value_or(0));
}

void LoadGenerator::checkAnswer(const Call &call, const HttpResponseHead &head, const std::string &answer)
{
    const std::string id = headerOf(head, "Standin-Request-Id");
    const bool own = std::find(call.ids.begin(), call.ids.end(), id) != call.ids.end();
    const bool bodyArrived = headerOf(head, "Standin-Body-Digest") == toHex(digestOf(call.body));
    const bool whole = headerOf(head, "Standin-Answer-Digest") == toHex(digestOf(answer));
    if (!own || !bodyArrived || !whole || answer.size() != plan_.answerBytes) {
        summary_.addWrongAnswer();
    }
}

Endpoint LoadGenerator::nextTarget(bool direct)
{
    const std::vector<std::string> &targets = direct ? plan_.direct : plan_.ingresses;
    std::size_t &last = direct ? lastDirect_ : lastIngress_;
    return Endpoint(targets[last++ % targets.size()]);
}

std::string LoadGenerator::bodyOf(CallKind kind)
{
    if (kind == CallKind::Lookup) {
        return {};
    }
    std::string body = runId_ + " body " + std::to_string(lastCall_) + " " + std::to_string(inFlight_);
    const std::size_t size = kind == CallKind::Upload ? plan_.uploadBytes : PaymentBytes;
    if (kind == CallKind::Upload) {
        body += uploadContent_;
    }
    body.resize(size, 'p');
    return body;
}

HttpRequestHead LoadGenerator::headOf(const Call &call) const
{
    const std::string path = "/" + call.service + "/" + std::string(toString(call.kind));
    HttpRequestHead head(call.kind == CallKind::Lookup ? "GET" : "POST",
                         path + "?bytes=" + std::to_string(plan_.answerBytes));
    const auto left = std::chrono::duration_cast<Milliseconds>(call.deadline - now());
    head.headers.add("Egretpath-Deadline-Ms", std::to_string(std::max<std::int64_t>(left.count(), 1)));
    head.headers.add("Standin-Call-Id", call.ids.back());
    if (!call.key.empty()) {
        head.headers.add("Idempotency-Key", call.key);
    }
    return head;
}

}

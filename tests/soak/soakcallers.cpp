#include "soak/soakcallers.h"

#include <algorithm>
#include <charconv>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "core/digest.h"
#include "http/sockettimer.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Bytes MaxAnswer{std::uint64_t{1024} * 1024};
/// A caller waits this much longer than it announced, to observe a late answer.
constexpr Milliseconds WaitBeyondTimeout{300};
constexpr unsigned MaxRetries = 2;
/// Share of requests that use a new connection.
constexpr double NewConnectionShare = 0.15;
constexpr std::size_t UploadBytes = std::size_t{60} * 1024;
constexpr std::size_t BodyBytes = 400;
/// Share of the read and payment requests for which the upstream makes a call of its own.
constexpr double InnerCallShare = 0.4;
constexpr Milliseconds MinDisconnectDelay{20};
constexpr Milliseconds DisconnectDelaySpread{300};
/// Time between attempts of a request that crashes upstreams.
constexpr Milliseconds CrashingInterval{60};
/// Time between the later attempts of such a request, which continue long after the first crashes.
constexpr Milliseconds LateCrashingInterval{500};
/// Share of crashing requests whose upstream makes the call that crashes.
constexpr double InnerCrashShare = 0.3;
const std::string InnerCrashPrefix = "calls-crash-";
constexpr double MillisecondsPerSecond = 1000.0;

HttpPoolLimits poolLimits()
{
    HttpPoolLimits limits;
    limits.connections = 400;
    limits.connectionsPerEndpoint = 400;
    // Callers reuse an idle connection only until four fifths of the time after which the node may close it.
    limits.idleTime = std::chrono::seconds(8);
    return limits;
}

std::string headerValue(const HttpResponseHead &head, std::string_view name)
{
    return std::string(head.headers.find(name).value_or(std::string_view()));
}

}

SoakCallers::SoakCallers(asio::io_context &context, SoakDeployment &deployment, const RoutePublisher &routePublisher,
                         PromiseChecker &checker, Random random)
    : context_(context)
    , deployment_(deployment)
    , routePublisher_(routePublisher)
    , checker_(checker)
    , random_(random)
{
}

void SoakCallers::start(double rate, TimePoint end)
{
    loadEnd_ = end;
    for (const auto &member : deployment_.members()) {
        pools_.push_back(std::make_unique<HttpConnectionPool>(context_.get_executor(), poolLimits()));
        asio::co_spawn(context_, sendRequests(member->number, rate, end), asio::detached);
    }
}

asio::awaitable<void> SoakCallers::sendRequests(NodeNumber node, double rate, TimePoint end)
{
    TimePoint next = currentTime();
    asio::steady_timer timer(context_);
    while (next < end) {
        std::exponential_distribution<double> gap(rate * rateFactor_);
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(context_, callWithRetries(node), asio::detached);
    }
}

CallerRoute SoakCallers::drawRoute()
{
    std::vector<CallerRoute> all = routePublisher_.routes();
    all.push_back(routePublisher_.movingRoute());
    all.push_back(routePublisher_.newestRoute());
    double remaining = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    for (const CallerRoute &route : all) {
        remaining -= route.share;
        if (remaining <= 0.0) {
            return route;
        }
    }
    return all.front();
}

asio::awaitable<void> SoakCallers::callWithRetries(NodeNumber node)
{
    Attempt attempt{node, drawRoute(), Milliseconds{0}, false, {}};
    const TimePoint deadline = currentTime() + attempt.route.callerTimeout;
    for (unsigned retry = 0; retry <= MaxRetries; ++retry) {
        attempt.callerTimeout = std::chrono::duration_cast<Milliseconds>(deadline - currentTime());
        if (attempt.callerTimeout <= Milliseconds{0}) {
            co_return;
        }
        const AttemptResult result = co_await sendAttempt(attempt);
        if (result.callerDisconnected || !mayRetry(attempt.route.kind, result)) {
            co_return;
        }
        co_await sleepFor(retryDelay(result));
    }
}

bool SoakCallers::mayRetry(RequestKind kind, const AttemptResult &result)
{
    constexpr std::uint16_t TooManyStatus = 429;
    constexpr std::uint16_t UnavailableStatus = 503;
    constexpr std::uint16_t FirstServerError = 500;
    const bool isNotRun = result.isUnsent || result.status == TooManyStatus || result.status == UnavailableStatus;
    return isNotRun || (isIdempotent(kind) && (result.status == 0 || result.status >= FirstServerError));
}

Milliseconds SoakCallers::retryDelay(const AttemptResult &result) const
{
    constexpr Milliseconds Default{50};
    return std::max(result.retryAfter, Default);
}

asio::awaitable<AttemptResult> SoakCallers::sendAttempt(Attempt attempt)
{
    const std::string body(attempt.route.kind == RequestKind::Upload ? UploadBytes
                               : isIdempotent(attempt.route.kind)    ? 0
                                                                     : BodyBytes,
                           'b');
    const SentAttempt sent = describe(attempt, body);
    checker_.recordSent(sent);
    const bool usesNewConnection = std::bernoulli_distribution(NewConnectionShare)(random_);
    // A request that may run only once uses a new connection, because its node may be closing a pooled one at this
    // moment.
    const bool runsAtMostOnce = !isIdempotent(attempt.route.kind);
    const auto choice =
        usesNewConnection || runsAtMostOnce ? HttpConnectionChoice::Fresh : HttpConnectionChoice::Pooled;
    const TimePoint limit = sent.at + attempt.callerTimeout + WaitBeyondTimeout;
    auto opened = co_await pools_.at(attempt.node)->open(deployment_.member(attempt.node).callers, limit, choice);
    AttemptResult result;
    if (opened) {
        result = co_await exchange(*opened.value(), sent, body);
    } else {
        result.isUnsent = true;
    }
    result.at = currentTime();
    checker_.recordResult(sent.id, result);
    constexpr std::uint16_t OkStatus = 200;
    if (!sent.isCrashing) {
        ++tally_.attempts;
        tally_.successes += result.status == OkStatus ? 1 : 0;
    }
    co_return result;
}

SentAttempt SoakCallers::describe(const Attempt &attempt, const std::string &body)
{
    const Member &member = deployment_.member(attempt.node);
    SentAttempt sent;
    sent.id = RequestId("a" + std::to_string(++lastId_));
    sent.node = attempt.node;
    sent.nodeStartCount = member.process->startCount();
    sent.route = attempt.route.key;
    sent.kind = attempt.route.kind;
    sent.method = isIdempotent(attempt.route.kind) ? "GET" : "POST";
    sent.target =
        RoutePublisher::prefixOf(attempt.route.key) + (attempt.name.empty() ? std::to_string(lastId_) : attempt.name);
    sent.bodyDigest = toHex(digestOf(body));
    sent.callerService = member.service;
    sent.callerTimeout = attempt.callerTimeout;
    sent.timeout = std::min(attempt.route.timeout, attempt.callerTimeout);
    sent.at = currentTime();
    sent.isInner = attempt.isInner;
    sent.isCrashing = !attempt.name.empty();
    return sent;
}

asio::awaitable<AttemptResult> SoakCallers::exchange(HttpClientCall &call, SentAttempt sent, std::string body)
{
    AttemptResult result;
    HttpRequestHead head(sent.method, sent.target);
    head.headers.add("Host", RoutePublisher::host());
    head.headers.add("X-Egretpath-Attempt-Id", sent.id.value());
    head.headers.add("X-Egretpath-Deadline-Ms", std::to_string(sent.callerTimeout.count()));
    // A caller may send any value here; the system has to replace it.
    head.headers.add("X-Egretpath-Caller-Service", "forged");
    SocketTimer disconnectTimer(context_.get_executor(), [&call, &result] {
        result.callerDisconnected = true;
        result.disconnectedAt = currentTime();
        call.cancel();
    });
    if (std::bernoulli_distribution(disconnectShare_)(random_)) {
        disconnectTimer.expireAfter(MinDisconnectDelay + Milliseconds(random_() % DisconnectDelaySpread.count()));
    }
    const Result<void> written = co_await call.sendRequest(std::move(head), std::move(body));
    const auto answer = co_await call.readHead();
    if (answer) {
        const auto content = co_await call.readCompleteBody(MaxAnswer);
        if (content) {
            result.status = answer.value().status;
            result.digest = headerValue(answer.value(), "X-Egretpath-Server-Signature");
            result.echoedId = headerValue(answer.value(), "X-Egretpath-Attempt-Id");
            result.bodyDigest = toHex(digestOf(content.value()));
            const std::string seconds = headerValue(answer.value(), "Retry-After");
            result.retryAfter = Milliseconds(static_cast<Milliseconds::rep>(
                seconds.empty() ? 0.0 : std::strtod(seconds.c_str(), nullptr) * MillisecondsPerSecond));
        }
    }
    result.isUnsent = !call.isFirstByteSent();
    // A caller that times out closes the connection, like a caller that disconnects early.
    if (!result.callerDisconnected && result.status == 0 && currentTime() >= sent.at + sent.callerTimeout) {
        result.callerDisconnected = true;
        result.disconnectedAt = currentTime();
    }
    disconnectTimer.disarm();
    co_return result;
}

asio::awaitable<void> SoakCallers::sendCrashing(Milliseconds length)
{
    const CallerRoute route = drawRoute();
    const bool isInnerCrash = std::bernoulli_distribution(InnerCrashShare)(random_);
    const std::string name = (isInnerCrash ? InnerCrashPrefix : "crash-") + std::to_string(++lastCrashingId_);
    const TimePoint frequentUntil = currentTime() + length;
    while (currentTime() < loadEnd_) {
        const NodeNumber node = random_() % deployment_.members().size();
        Attempt attempt{node, route, route.callerTimeout, false, name};
        asio::co_spawn(
            context_, [this, attempt]() -> asio::awaitable<void> { (void)co_await sendAttempt(attempt); },
            asio::detached);
        co_await sleepFor(currentTime() < frequentUntil ? CrashingInterval : LateCrashingInterval);
    }
}

StandinUpstream::InnerCall SoakCallers::innerCalls(NodeNumber node)
{
    return [this, node](std::string target, Milliseconds left) -> asio::awaitable<bool> {
        const bool isRead = target.starts_with(RoutePublisher::prefixOf(RouteKey("read")));
        const bool isPayment = target.starts_with(RoutePublisher::prefixOf(RouteKey("pay")));
        const std::size_t crashPosition = target.find(InnerCrashPrefix);
        const bool triggersCrash = crashPosition != std::string::npos;
        if ((!isRead && !isPayment) || (!triggersCrash && !std::bernoulli_distribution(InnerCallShare)(random_))) {
            co_return true;
        }
        const RouteKey innerRoute(isRead ? "rate" : "eligible");
        const auto &routes = routePublisher_.routes();
        const auto route = std::find_if(routes.begin(), routes.end(),
                                        [&innerRoute](const CallerRoute &known) { return known.key == innerRoute; });
        Attempt attempt{node, *route, std::min(route->callerTimeout, left), true, {}};
        if (triggersCrash) {
            attempt.name = "crash-" + target.substr(crashPosition + InnerCrashPrefix.size());
        }
        const AttemptResult result = co_await sendAttempt(attempt);
        constexpr std::uint16_t OkStatus = 200;
        co_return result.status == OkStatus;
    };
}

}

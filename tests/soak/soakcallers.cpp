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

constexpr Bytes LargestAnswer{std::uint64_t{1024} * 1024};
/// A caller waits so much longer than it said, to see whether an answer still comes.
constexpr Milliseconds WaitBeyondPatience{300};
constexpr unsigned Retries = 2;
/// Of the requests, the share that opens a connection of its own.
constexpr double FreshShare = 0.15;
constexpr std::size_t UploadBytes = std::size_t{60} * 1024;
constexpr std::size_t BodyBytes = 400;
/// Of the work of a route, the share that makes a call of its own.
constexpr double InnerShare = 0.4;
constexpr Milliseconds LeaveSoonest{20};
constexpr Milliseconds LeaveSpread{300};
/// Between attempts of a request that ends upstreams.
constexpr Milliseconds CrashingPause{60};
/// It still comes when nobody thinks of it any more.
constexpr Milliseconds LaterCrashingPause{500};
/// Of these requests, the share whose upstreams make the call that does it.
constexpr double ThroughCallShare = 0.3;
const std::string ThroughCall = "calls-crash-";
constexpr double MillisecondsInSecond = 1000.0;

HttpPoolLimits poolLimits()
{
    HttpPoolLimits limits;
    limits.connections = 400;
    limits.connectionsPerEndpoint = 400;
    // Connections are used again until four fifths of the time after which the node may close them.
    limits.idleTime = std::chrono::seconds(8);
    return limits;
}

std::string fieldOf(const HttpResponseHead &head, std::string_view name)
{
    return std::string(head.headers.find(name).value_or(std::string_view()));
}

}

SoakCallers::SoakCallers(asio::io_context &context, SoakDeployment &deployment, const Operators &operators,
                         PromiseChecker &checker, Random random)
    : context_(context)
    , deployment_(deployment)
    , operators_(operators)
    , checker_(checker)
    , random_(random)
{
}

void SoakCallers::start(double rate, TimePoint end)
{
    end_ = end;
    for (const auto &member : deployment_.members()) {
        pools_.push_back(std::make_unique<HttpConnectionPool>(context_.get_executor(), poolLimits()));
        asio::co_spawn(context_, sendAt(member->number, rate, end), asio::detached);
    }
}

asio::awaitable<void> SoakCallers::sendAt(NodeNumber node, double rate, TimePoint end)
{
    TimePoint next = currentTime();
    asio::steady_timer timer(context_);
    while (next < end) {
        std::exponential_distribution<double> gap(rate * pressure_);
        next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
        timer.expires_at(next);
        co_await timer.async_wait(asio::use_awaitable);
        asio::co_spawn(context_, request(node), asio::detached);
    }
}

CallerRoute SoakCallers::drawRoute()
{
    std::vector<CallerRoute> all = operators_.routes();
    all.push_back(operators_.movingRoute());
    all.push_back(operators_.newestRoute());
    double left = std::uniform_real_distribution<double>(0.0, 1.0)(random_);
    for (const CallerRoute &route : all) {
        left -= route.share;
        if (left <= 0.0) {
            return route;
        }
    }
    return all.front();
}

asio::awaitable<void> SoakCallers::request(NodeNumber node)
{
    Attempt what{node, drawRoute(), Milliseconds{0}, false, {}};
    const TimePoint deadline = currentTime() + what.route.patience;
    for (unsigned tries = 0; tries <= Retries; ++tries) {
        what.patience = std::chrono::duration_cast<Milliseconds>(deadline - currentTime());
        if (what.patience <= Milliseconds{0}) {
            co_return;
        }
        const AttemptEnd end = co_await attempt(what);
        if (end.callerLeft || !mayRetry(what.route.kind, end)) {
            co_return;
        }
        co_await sleepFor(retryDelay(end));
    }
}

bool SoakCallers::mayRetry(RequestKind kind, const AttemptEnd &end)
{
    constexpr std::uint16_t TooManyStatus = 429;
    constexpr std::uint16_t UnavailableStatus = 503;
    constexpr std::uint16_t FirstServerError = 500;
    const bool promised = end.notSent || end.status == TooManyStatus || end.status == UnavailableStatus;
    return promised || (kind == RequestKind::Safe && (end.status == 0 || end.status >= FirstServerError));
}

Milliseconds SoakCallers::retryDelay(const AttemptEnd &end) const
{
    constexpr Milliseconds Default{50};
    return std::max(end.retryAfter, Default);
}

asio::awaitable<AttemptEnd> SoakCallers::attempt(Attempt what)
{
    const std::string body(what.route.kind == RequestKind::Upload     ? UploadBytes
                               : what.route.kind == RequestKind::Safe ? 0
                                                                      : BodyBytes,
                           'b');
    const SentAttempt sent = describe(what, body);
    checker_.sent(sent);
    const bool fresh = std::bernoulli_distribution(FreshShare)(random_);
    // A request that may run once goes over no connection that its node may be closing just now.
    const bool isOnce = what.route.kind != RequestKind::Safe;
    const auto choice = fresh || isOnce ? HttpConnectionChoice::Fresh : HttpConnectionChoice::Pooled;
    const TimePoint limit = sent.at + what.patience + WaitBeyondPatience;
    auto opened = co_await pools_.at(what.node)->open(deployment_.member(what.node).callers, limit, choice);
    AttemptEnd end;
    if (opened) {
        end = co_await exchange(*opened.value(), sent, body);
    } else {
        end.notSent = true;
    }
    end.at = currentTime();
    checker_.ended(sent.id, end);
    constexpr std::uint16_t OkStatus = 200;
    if (!sent.crashing) {
        ++tally_.attempts;
        tally_.successes += end.status == OkStatus ? 1 : 0;
    }
    co_return end;
}

SentAttempt SoakCallers::describe(const Attempt &what, const std::string &body)
{
    const Member &member = deployment_.member(what.node);
    SentAttempt sent;
    sent.id = RequestId("a" + std::to_string(++lastId_));
    sent.node = what.node;
    sent.boot = member.process->boot();
    sent.route = what.route.key;
    sent.kind = what.route.kind;
    sent.method = what.route.kind == RequestKind::Safe ? "GET" : "POST";
    sent.target = Operators::prefixOf(what.route.key) + (what.name.empty() ? std::to_string(lastId_) : what.name);
    sent.bodyDigest = toHex(digestOf(body));
    sent.callerService = member.service;
    sent.patience = what.patience;
    sent.timeout = std::min(what.route.timeout, what.patience);
    sent.at = currentTime();
    sent.inner = what.inner;
    sent.crashing = !what.name.empty();
    return sent;
}

asio::awaitable<AttemptEnd> SoakCallers::exchange(HttpClientCall &call, SentAttempt sent, std::string body)
{
    AttemptEnd end;
    HttpRequestHead head(sent.method, sent.target);
    head.headers.add("Host", Operators::host());
    head.headers.add("X-Egretpath-Attempt-Id", sent.id.value());
    head.headers.add("X-Egretpath-Deadline-Ms", std::to_string(sent.patience.count()));
    // A caller may claim what it likes; the system has to replace it.
    head.headers.add("X-Egretpath-Caller-Service", "forged");
    SocketTimer leaving(context_.get_executor(), [&call, &end] {
        end.callerLeft = true;
        end.leftAt = currentTime();
        call.cancel();
    });
    if (std::bernoulli_distribution(leaving_)(random_)) {
        leaving.expireAfter(LeaveSoonest + Milliseconds(random_() % LeaveSpread.count()));
    }
    const Result<void> written = co_await call.sendRequest(std::move(head), std::move(body));
    const auto answer = co_await call.readHead();
    if (answer) {
        const auto content = co_await call.readCompleteBody(LargestAnswer);
        if (content) {
            end.status = answer.value().status;
            end.signature = fieldOf(answer.value(), "X-Egretpath-Server-Signature");
            end.echoedId = fieldOf(answer.value(), "X-Egretpath-Attempt-Id");
            end.bodyDigest = toHex(digestOf(content.value()));
            const std::string seconds = fieldOf(answer.value(), "Retry-After");
            end.retryAfter = Milliseconds(static_cast<Milliseconds::rep>(
                seconds.empty() ? 0.0 : std::strtod(seconds.c_str(), nullptr) * MillisecondsInSecond));
        }
    }
    end.notSent = !call.firstByteSent();
    // A caller whose own time is over closes the connection, as one that leaves does.
    if (!end.callerLeft && end.status == 0 && currentTime() >= sent.at + sent.patience) {
        end.callerLeft = true;
        end.leftAt = currentTime();
    }
    leaving.disarm();
    co_return end;
}

asio::awaitable<void> SoakCallers::sendCrashing(Milliseconds length)
{
    const CallerRoute route = drawRoute();
    const bool throughCall = std::bernoulli_distribution(ThroughCallShare)(random_);
    const std::string name = (throughCall ? ThroughCall : "crash-") + std::to_string(++lastCrashing_);
    const TimePoint often = currentTime() + length;
    while (currentTime() < end_) {
        const NodeNumber node = random_() % deployment_.members().size();
        Attempt what{node, route, route.patience, false, name};
        asio::co_spawn(
            context_, [this, what]() -> asio::awaitable<void> { (void)co_await attempt(what); }, asio::detached);
        co_await sleepFor(currentTime() < often ? CrashingPause : LaterCrashingPause);
    }
}

SlottedUpstream::InnerCall SoakCallers::innerCalls(NodeNumber node)
{
    return [this, node](std::string target, Milliseconds left) -> asio::awaitable<bool> {
        const bool reads = target.starts_with(Operators::prefixOf(RouteKey("read")));
        const bool pays = target.starts_with(Operators::prefixOf(RouteKey("pay")));
        const std::size_t crashing = target.find(ThroughCall);
        const bool crashes = crashing != std::string::npos;
        if ((!reads && !pays) || (!crashes && !std::bernoulli_distribution(InnerShare)(random_))) {
            co_return true;
        }
        const RouteKey wanted(reads ? "rate" : "eligible");
        const auto &routes = operators_.routes();
        const auto route = std::find_if(routes.begin(), routes.end(),
                                        [&wanted](const CallerRoute &known) { return known.key == wanted; });
        Attempt what{node, *route, std::min(route->patience, left), true, {}};
        if (crashes) {
            what.name = "crash-" + target.substr(crashing + ThroughCall.size());
        }
        const AttemptEnd end = co_await attempt(what);
        constexpr std::uint16_t OkStatus = 200;
        co_return end.status == OkStatus;
    };
}

}

#include "standins/standinupstream.h"

#include <algorithm>
#include <cstdlib>
#include <random>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"
#include "core/digest.h"
#include "standins/querytarget.h"
#include "standins/standinanswer.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::string_view AttemptId = "X-Egretpath-Attempt-Id";
constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t MisdirectedStatus = 421;
constexpr std::uint16_t FailedStatus = 500;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t TimeoutStatus = 504;
/// Other load on the VM slows all work down for some tenths of a second at a time.
constexpr Milliseconds SlowdownStep{100};
constexpr double SlowShare = 0.25;
constexpr double SlowFactor = 3.0;
constexpr double WorkSpread = 0.3;
constexpr double Percent = 100.0;
constexpr std::size_t MinAnswerBytes = 300;
constexpr std::size_t AnswerBytesSpread = 6000;
/// Idle connections are closed after this time, as upstreams on the platform do.
constexpr Milliseconds IdleTime{10'000};

std::string headerValue(const HttpExchange &exchange, std::string_view name)
{
    return std::string(exchange.head().headers.find(name).value_or(std::string_view()));
}

std::string lastSegment(const std::string &target)
{
    return target.substr(target.rfind('/') + 1);
}

HttpLimits limits()
{
    HttpLimits limits;
    limits.idleTime = IdleTime;
    return limits;
}

}

class StandinUpstream::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::any_io_executor executor, StandinUpstreamOptions options, UpstreamObserver &observer,
                   InnerCall innerCall)
        : executor_(executor)
        , options_(std::move(options))
        , observer_(observer)
        , innerCall_(std::move(innerCall))
        , random_(options_.seed)
        , slotFreed_(executor, asio::steady_timer::time_point::max())
    {
    }

    void start()
    {
        // The server's handlers own the upstream, because a crash must not destroy it while some of them still run.
        server_ = std::make_unique<HttpServer>(
            executor_, limits(), [self = shared_from_this()](HttpExchange &exchange) { return self->serve(exchange); });
        if (const auto bound = server_->listen(options_.address); !bound) {
            throw std::runtime_error(options_.address.value() + ": " + bound.error().detail);
        }
        asio::co_spawn(
            executor_, [self = shared_from_this()] { return self->varySlowdown(); }, asio::detached);
    }

    void crash()
    {
        hasExited_ = true;
        if (server_) {
            server_->closeAll();
        }
        server_.reset();
        slotFreed_.cancel();
    }

    void drain() { isDraining_ = true; }
    [[nodiscard]] const StandinUpstreamOptions &options() const { return options_; }
    [[nodiscard]] UpstreamFaults &faults() { return faults_; }
    [[nodiscard]] UpstreamStatements &statements() { return statements_; }

private:
    /// Occupies one slot while it exists.
    class Slot
    {
    public:
        explicit Slot(Implementation &upstream)
            : upstream_(upstream)
        {
            ++upstream_.running_;
        }
        ~Slot()
        {
            --upstream_.running_;
            upstream_.slotFreed_.cancel();
        }
        Slot(const Slot &) = delete;
        Slot &operator=(const Slot &) = delete;

    private:
        Implementation &upstream_;
    };

    asio::awaitable<void> serve(HttpExchange &exchange)
    {
        const auto self = shared_from_this();
        if (exchange.head().target == "/health") {
            const bool isLeaving = isDraining_ || statements_.isLeaving;
            HttpResponseHead head = answerHead(isLeaving ? UnavailableStatus : OkStatus, RequestId());
            const auto left = std::chrono::ceil<Milliseconds>(statements_.coldUntil - currentTime());
            head.headers.add("X-Egretpath-Warmup-Ms", std::to_string(std::max<Milliseconds::rep>(left.count(), 0)));
            (void)co_await exchange.respond(std::move(head), std::string());
            co_return;
        }
        auto body = co_await readCompleteBody(exchange);
        if (!body) {
            co_return;
        }
        const ArrivedRequest request = parseRequest(exchange, body.value());
        observer_.onArrived(options_.id, options_.service, request);
        if (request.isMisdirected) {
            co_await refuse(exchange, request.attempt, MisdirectedStatus);
        } else if (faults_.isRefusing || running_ + waiting_ >= options_.slots + options_.queue) {
            co_await refuse(exchange, request.attempt, UnavailableStatus);
        } else if (drawBool(faults_.hangingShare)) {
            co_await hang(exchange);
        } else {
            co_await waitAndRun(exchange, request);
        }
    }

    /// Waits until the caller closes the connection or the upstream exits. The request counts neither as running nor as
    /// waiting.
    asio::awaitable<void> hang(HttpExchange &exchange)
    {
        bool callerDisconnected = false;
        exchange.onCallerDisconnected([this, &callerDisconnected] {
            callerDisconnected = true;
            slotFreed_.cancel();
        });
        while (!callerDisconnected && !hasExited_) {
            boost::system::error_code ignored;
            co_await slotFreed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        exchange.onCallerDisconnected(nullptr);
    }

    [[nodiscard]] ArrivedRequest parseRequest(const HttpExchange &exchange, const std::string &body) const
    {
        ArrivedRequest request;
        request.attempt = RequestId(headerValue(exchange, AttemptId));
        request.method = exchange.head().method;
        request.target = exchange.head().target;
        request.bodyDigest = toHex(digestOf(body));
        request.callerService = ServiceName(headerValue(exchange, "X-Egretpath-Caller-Service"));
        if (const auto left = parseUnsigned(headerValue(exchange, "X-Egretpath-Deadline-Ms"))) {
            request.timeLeft = Milliseconds(*left);
        }
        request.isMisdirected = headerValue(exchange, "X-Egretpath-Target-Instance") != options_.id.value();
        return request;
    }

    asio::awaitable<void> refuse(HttpExchange &exchange, RequestId attempt, std::uint16_t status)
    {
        HttpResponseHead head = answerHead(status, attempt);
        head.headers.add("X-Egretpath-Not-Executed", "1");
        (void)co_await exchange.respond(std::move(head), std::string());
    }

    asio::awaitable<void> waitAndRun(HttpExchange &exchange, ArrivedRequest request)
    {
        const TimePoint deadline = currentTime() + std::max(request.timeLeft, Milliseconds{0});
        bool callerDisconnected = false;
        exchange.onCallerDisconnected([this, &callerDisconnected] {
            callerDisconnected = true;
            slotFreed_.cancel();
        });
        ++waiting_;
        while (running_ >= options_.slots && !callerDisconnected && !hasExited_ && currentTime() < deadline) {
            boost::system::error_code ignored;
            co_await slotFreed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        --waiting_;
        if (callerDisconnected || hasExited_) {
            exchange.onCallerDisconnected(nullptr);
            co_return;
        }
        if (currentTime() >= deadline) {
            exchange.onCallerDisconnected(nullptr);
            co_await refuse(exchange, request.attempt, UnavailableStatus);
            co_return;
        }
        const Slot slot(*this);
        observer_.onRunStarted(options_.id, options_.service, request);
        const bool finished = co_await work(exchange, request, deadline, callerDisconnected);
        observer_.onRunFinished(request.attempt);
        if (finished && !callerDisconnected && !hasExited_ && isCrashing(request)) {
            observer_.onCrashedBy(options_.id, request);
            crash();
            asio::post(executor_, options_.onCrashed);
            co_return;
        }
        exchange.onCallerDisconnected(nullptr);
        if (!callerDisconnected && !hasExited_) {
            co_await answer(exchange, request, finished ? OkStatus : TimeoutStatus);
        }
    }

    [[nodiscard]] Duration workOn(const ArrivedRequest &request)
    {
        const std::string segment = lastSegment(request.target);
        if (segment.starts_with(options_.workPrefix)) {
            return Milliseconds(std::atoi(segment.c_str() + options_.workPrefix.size()));
        }
        std::lognormal_distribution<double> spread(0.0, WorkSpread);
        return std::chrono::duration_cast<Duration>(options_.work * spread(random_) * slowdown_ * faults_.slowFactor);
    }

    /// Returns false when the deadline passed first or the inner call failed.
    asio::awaitable<bool> work(HttpExchange &exchange, const ArrivedRequest &request, TimePoint deadline,
                               bool &callerDisconnected)
    {
        const Duration length = workOn(request);
        asio::steady_timer timer(executor_, std::min(currentTime() + length, deadline));
        exchange.onCallerDisconnected([&timer, &callerDisconnected] {
            callerDisconnected = true;
            timer.cancel();
        });
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        exchange.onCallerDisconnected([&callerDisconnected] { callerDisconnected = true; });
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - currentTime());
        bool isFinished = left > Milliseconds{0};
        if (isFinished && !callerDisconnected && innerCall_) {
            isFinished = co_await innerCall_(request.target, left);
        }
        co_return isFinished;
    }

    asio::awaitable<void> answer(HttpExchange &exchange, ArrivedRequest request, std::uint16_t status)
    {
        const bool isFailure = status != OkStatus || drawBool(faults_.failingShare);
        const std::size_t bytes = MinAnswerBytes + random_() % AnswerBytesSpread;
        std::string content = standinAnswer(request.attempt.value(), request.bodyDigest, bytes);
        UpstreamAnswer sentAnswer{request.attempt, isFailure && status == OkStatus ? FailedStatus : status,
                                  options_.id.value() + "." + std::to_string(random_()), toHex(digestOf(content))};
        const bool omitsDigest = drawBool(faults_.unsignedShare);
        HttpResponseHead head = answerHead(sentAnswer.status, request.attempt);
        if (!omitsDigest) {
            head.headers.add("X-Egretpath-Server-Signature", sentAnswer.digest);
            observer_.onAnswered(sentAnswer);
        }
        if (drawBool(faults_.lostAnswerShare)) {
            exchange.abort();
        } else if (drawBool(faults_.truncatedShare)) {
            (void)co_await exchange.startResponse(head, content.size());
            (void)co_await exchange.writeBody(content.substr(0, content.size() / 2));
            exchange.abort();
        } else {
            (void)co_await exchange.respond(std::move(head), std::move(content));
        }
    }

    [[nodiscard]] HttpResponseHead answerHead(std::uint16_t status, const RequestId &attempt) const
    {
        HttpResponseHead head(status);
        if (!attempt.value().empty()) {
            head.headers.add(std::string(AttemptId), attempt.value());
        }
        head.headers.add("X-Egretpath-Instance-Id", options_.id.value());
        const auto slowdown = static_cast<int>(slowdown_ * Percent);
        head.headers.add("X-Egretpath-Instance-Load",
                         std::to_string(running_) + "," + std::to_string(waiting_) + ","
                             + std::to_string(options_.slots) + "," + std::to_string(slowdown));
        if (statements_.limit > 0.0) {
            head.headers.add("Server-Limit", std::to_string(statements_.limit));
        }
        if (statements_.isLeaving) {
            head.headers.add("Server-Leaving", "1");
        }
        return head;
    }

    [[nodiscard]] bool isCrashing(const ArrivedRequest &request) const
    {
        return lastSegment(request.target).starts_with(options_.crashPrefix);
    }

    [[nodiscard]] bool drawBool(double share) { return std::bernoulli_distribution(share)(random_); }

    asio::awaitable<void> varySlowdown()
    {
        while (!hasExited_) {
            slowdown_ = drawBool(SlowShare) ? SlowFactor : 1.0;
            const auto steps = static_cast<Milliseconds::rep>(1 + random_() % 5);
            co_await sleepFor(SlowdownStep * steps);
        }
    }

    asio::any_io_executor executor_;
    StandinUpstreamOptions options_;
    UpstreamObserver &observer_;
    InnerCall innerCall_;
    Random random_;
    UpstreamFaults faults_;
    UpstreamStatements statements_;
    std::unique_ptr<HttpServer> server_;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    double slowdown_ = 1.0;
    bool isDraining_ = false;
    bool hasExited_ = false;
    /// Never expires. Cancelled when a slot becomes free, a caller disconnects or the upstream exits.
    asio::steady_timer slotFreed_;
};

StandinUpstream::StandinUpstream(asio::any_io_executor executor, StandinUpstreamOptions options,
                                 UpstreamObserver &observer, InnerCall innerCall)
    : implementation_(
        std::make_shared<Implementation>(std::move(executor), std::move(options), observer, std::move(innerCall)))
{
    implementation_->start();
}

StandinUpstream::~StandinUpstream()
{
    implementation_->crash();
}

const StandinUpstreamOptions &StandinUpstream::options() const
{
    return implementation_->options();
}

UpstreamFaults &StandinUpstream::faults()
{
    return implementation_->faults();
}

void StandinUpstream::drain()
{
    implementation_->drain();
}

UpstreamStatements &StandinUpstream::statements()
{
    return implementation_->statements();
}

void StandinUpstream::crash()
{
    implementation_->crash();
}

}

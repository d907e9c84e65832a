#include "standins/slottedupstream.h"

#include <algorithm>
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
/// A neighbour on the VM makes all work slower for some tenths of a second at a time.
constexpr Milliseconds SlowdownStep{100};
constexpr double SlowShare = 0.25;
constexpr double SlowPace = 3.0;
constexpr double WorkSpread = 0.3;
constexpr double Percent = 100.0;
constexpr std::size_t LeastAnswerBytes = 300;
constexpr std::size_t AnswerSpread = 6000;
/// Idle connections are closed after this time, as upstreams on the platform do.
constexpr Milliseconds IdleTime{10'000};

std::string fieldOf(const HttpExchange &exchange, std::string_view name)
{
    return std::string(exchange.head().headers.find(name).value_or(std::string_view()));
}

HttpLimits limits()
{
    HttpLimits limits;
    limits.idleTime = IdleTime;
    return limits;
}

}

class SlottedUpstream::Implementation : public std::enable_shared_from_this<Implementation>
{
public:
    Implementation(asio::any_io_executor executor, SlottedUpstreamOptions options, UpstreamObserver &observer,
                   InnerCall innerCall)
        : executor_(executor)
        , options_(std::move(options))
        , observer_(observer)
        , innerCall_(std::move(innerCall))
        , random_(options_.seed)
        , freed_(executor, asio::steady_timer::time_point::max())
    {
    }

    void start()
    {
        // The server's handlers hold the upstream: a crash must not take it from under those that still run.
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
        ended_ = true;
        if (server_) {
            server_->closeAll();
        }
        server_.reset();
        freed_.cancel();
    }

    void drain() { draining_ = true; }
    [[nodiscard]] const SlottedUpstreamOptions &options() const { return options_; }
    [[nodiscard]] UpstreamFaults &faults() { return faults_; }

private:
    /// Holds one of the slots.
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
            upstream_.freed_.cancel();
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
            HttpResponseHead head = answerHead(draining_ ? UnavailableStatus : OkStatus, RequestId());
            (void)co_await exchange.respond(std::move(head), std::string());
            co_return;
        }
        auto body = co_await readCompleteBody(exchange);
        if (!body) {
            co_return;
        }
        const ArrivedRequest request = read(exchange, body.value());
        observer_.arrived(options_.id, options_.service, request);
        if (fieldOf(exchange, "X-Egretpath-Target-Instance") != options_.id.value()) {
            co_await refuse(exchange, request.attempt, MisdirectedStatus);
        } else if (faults_.refusing || running_ + waiting_ >= options_.slots + options_.queue) {
            co_await refuse(exchange, request.attempt, UnavailableStatus);
        } else if (draws(faults_.hanging)) {
            co_await neverAnswer(exchange);
        } else {
            co_await waitAndRun(exchange, request);
        }
    }

    /// Until the caller closes the connection; the upstream does not count the request.
    asio::awaitable<void> neverAnswer(HttpExchange &exchange)
    {
        bool gone = false;
        exchange.onCallerDisconnected([this, &gone] {
            gone = true;
            freed_.cancel();
        });
        while (!gone && !ended_) {
            boost::system::error_code ignored;
            co_await freed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        exchange.onCallerDisconnected(nullptr);
    }

    [[nodiscard]] static ArrivedRequest read(const HttpExchange &exchange, const std::string &body)
    {
        ArrivedRequest request;
        request.attempt = RequestId(fieldOf(exchange, AttemptId));
        request.method = exchange.head().method;
        request.target = exchange.head().target;
        request.bodyDigest = toHex(digestOf(body));
        request.callerService = ServiceName(fieldOf(exchange, "X-Egretpath-Caller-Service"));
        if (const auto left = parseUnsigned(fieldOf(exchange, "X-Egretpath-Deadline-Ms"))) {
            request.left = Milliseconds(*left);
        }
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
        const TimePoint deadline = currentTime() + std::max(request.left, Milliseconds{0});
        bool gone = false;
        exchange.onCallerDisconnected([this, &gone] {
            gone = true;
            freed_.cancel();
        });
        ++waiting_;
        while (running_ >= options_.slots && !gone && !ended_ && currentTime() < deadline) {
            boost::system::error_code ignored;
            co_await freed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        --waiting_;
        if (gone || ended_) {
            exchange.onCallerDisconnected(nullptr);
            co_return;
        }
        if (currentTime() >= deadline) {
            exchange.onCallerDisconnected(nullptr);
            co_await refuse(exchange, request.attempt, UnavailableStatus);
            co_return;
        }
        const Slot slot(*this);
        observer_.runStarted(options_.id, options_.service, request);
        const bool finished = co_await work(exchange, request, deadline, gone);
        observer_.runEnded(request.attempt);
        if (finished && !gone && !ended_ && isCrashing(request)) {
            observer_.crashedBy(options_.id, request);
            crash();
            asio::post(executor_, options_.crashed);
            co_return;
        }
        exchange.onCallerDisconnected(nullptr);
        if (!gone && !ended_) {
            co_await answer(exchange, request, finished ? OkStatus : TimeoutStatus);
        }
    }

    /// Returns false when the deadline came first.
    asio::awaitable<bool> work(HttpExchange &exchange, const ArrivedRequest &request, TimePoint deadline, bool &gone)
    {
        std::lognormal_distribution<double> spread(0.0, WorkSpread);
        const double factor = spread(random_) * slowdown_ * faults_.slow;
        const auto length = std::chrono::duration_cast<Duration>(options_.work * factor);
        asio::steady_timer timer(executor_, std::min(currentTime() + length, deadline));
        exchange.onCallerDisconnected([&timer, &gone] {
            gone = true;
            timer.cancel();
        });
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        exchange.onCallerDisconnected([&gone] { gone = true; });
        const auto left = std::chrono::duration_cast<Milliseconds>(deadline - currentTime());
        bool whole = left > Milliseconds{0};
        if (whole && !gone && innerCall_) {
            whole = co_await innerCall_(request.target, left);
        }
        co_return whole;
    }

    asio::awaitable<void> answer(HttpExchange &exchange, ArrivedRequest request, std::uint16_t status)
    {
        const bool fails = status != OkStatus || draws(faults_.failing);
        const std::size_t bytes = LeastAnswerBytes + random_() % AnswerSpread;
        std::string content = standinAnswer(request.attempt.value(), request.bodyDigest, bytes);
        MadeAnswer made{request.attempt, fails && status == OkStatus ? FailedStatus : status,
                        options_.id.value() + "." + std::to_string(random_()), toHex(digestOf(content))};
        const bool isUnsigned = draws(faults_.unsignedShare);
        HttpResponseHead head = answerHead(made.status, request.attempt);
        if (!isUnsigned) {
            head.headers.add("X-Egretpath-Server-Signature", made.signature);
            observer_.answered(made);
        }
        if (draws(faults_.answerLost)) {
            exchange.abort();
        } else if (draws(faults_.cutShort)) {
            (void)co_await exchange.beginResponse(head, content.size());
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
        return head;
    }

    [[nodiscard]] bool isCrashing(const ArrivedRequest &request) const
    {
        return request.target.substr(request.target.rfind('/') + 1).starts_with(options_.crashName);
    }

    [[nodiscard]] bool draws(double share) { return std::bernoulli_distribution(share)(random_); }

    asio::awaitable<void> varySlowdown()
    {
        while (!ended_) {
            slowdown_ = draws(SlowShare) ? SlowPace : 1.0;
            const auto steps = static_cast<Milliseconds::rep>(1 + random_() % 5);
            co_await sleepFor(SlowdownStep * steps);
        }
    }

    asio::any_io_executor executor_;
    SlottedUpstreamOptions options_;
    UpstreamObserver &observer_;
    InnerCall innerCall_;
    Random random_;
    UpstreamFaults faults_;
    std::unique_ptr<HttpServer> server_;
    std::uint32_t running_ = 0;
    std::uint32_t waiting_ = 0;
    double slowdown_ = 1.0;
    bool draining_ = false;
    bool ended_ = false;
    /// Never expires; cancelled when a slot is free or the upstream ends.
    asio::steady_timer freed_;
};

SlottedUpstream::SlottedUpstream(asio::any_io_executor executor, SlottedUpstreamOptions options,
                                 UpstreamObserver &observer, InnerCall innerCall)
    : implementation_(
        std::make_shared<Implementation>(std::move(executor), std::move(options), observer, std::move(innerCall)))
{
    implementation_->start();
}

SlottedUpstream::~SlottedUpstream()
{
    implementation_->crash();
}

const SlottedUpstreamOptions &SlottedUpstream::options() const
{
    return implementation_->options();
}

UpstreamFaults &SlottedUpstream::faults()
{
    return implementation_->faults();
}

void SlottedUpstream::drain()
{
    implementation_->drain();
}

void SlottedUpstream::crash()
{
    implementation_->crash();
}

}

#include "standins/standinupstream.h"

#include <algorithm>
#include <random>
#include <sstream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/digest.h"
#include "standins/standinanswer.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t FailedStatus = 500;
constexpr std::uint16_t UnavailableStatus = 503;
constexpr std::uint16_t TimeoutStatus = 504;
/// The value of the control `drain` with which calls are not shed.
constexpr std::uint64_t RunsWhileDraining = 2;
constexpr std::uint64_t DefaultAnswerBytes = 200;
constexpr std::uint64_t LargestAnswerBytes = std::uint64_t{16} * 1024 * 1024;
constexpr std::uint64_t DefaultDeadlineMilliseconds = 60'000;

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

std::string headerOf(const HttpExchange &exchange, std::string_view name)
{
    return std::string(exchange.head().headers.find(name).value_or(std::string_view()));
}

TimePoint deadlineOf(const HttpExchange &exchange)
{
    const auto milliseconds = parseUnsigned(headerOf(exchange, "Egretpath-Deadline-Ms"));
    return now() + Milliseconds(milliseconds.value_or(DefaultDeadlineMilliseconds));
}

/// The id under which the caller knows the request; direct callers and nodes without it fall back to the node's.
std::string requestIdOf(const HttpExchange &exchange)
{
    std::string id = headerOf(exchange, "Standin-Call-Id");
    return id.empty() ? headerOf(exchange, "Egretpath-Request-Id") : id;
}

Incarnation drawIncarnation()
{
    std::random_device device;
    return Incarnation((std::uint64_t{device()} << 32) | device());
}

}

/// Holds one of the upstream's slots.
class StandinUpstream::Slot
{
public:
    explicit Slot(StandinUpstream &upstream)
        : upstream_(upstream)
    {
    }
    ~Slot() { upstream_.freeSlot(); }
    Slot(const Slot &) = delete;
    Slot &operator=(const Slot &) = delete;

private:
    StandinUpstream &upstream_;
};

StandinUpstream::StandinUpstream(asio::any_io_executor executor, StandinUpstreamOptions options)
    : executor_(std::move(executor))
    , options_(std::move(options))
    , identity_{UpstreamName(options_.name), drawIncarnation()}
    , history_(options_.historyFile)
    , serviceTime_(options_.serviceTime, options_.seed, now())
{
    asio::co_spawn(
        executor_, [this] { return refreshReport(); }, asio::detached);
}

asio::awaitable<void> StandinUpstream::handle(HttpExchange &exchange)
{
    const QueryTarget target(exchange.head().target);
    if (target.path() == "/health" || target.path() == "/load") {
        co_await report(exchange, target.path() == "/health");
    } else if (target.path() == "/control/counts") {
        co_await respondText(exchange, OkStatus, countsText());
    } else if (target.path() == "/control") {
        co_await control(exchange, target);
    } else {
        co_await run(exchange, target);
    }
}

asio::awaitable<void> StandinUpstream::run(HttpExchange &exchange, const QueryTarget &target)
{
    const TimePoint deadline = deadlineOf(exchange);
    if (faults_.failFast) {
        co_await respondText(exchange, FailedStatus, "failing\n");
        co_return;
    }
    if (leavingSince_ && !faults_.runsWhileDraining) {
        co_await shed(exchange, "draining\n");
        co_return;
    }
    auto body = co_await readWholeBody(exchange);
    if (!body) {
        co_return;
    }
    if (running_ >= options_.slots && waiting_.size() >= options_.queue) {
        co_await shed(exchange, "overloaded\n");
        co_return;
    }
    if (!co_await waitForSlot(exchange, deadline)) {
        co_await respondText(exchange, TimeoutStatus, "no slot before the deadline\n");
        co_return;
    }
    const Slot slot(*this);
    co_await runInSlot(exchange, target, std::move(body.value()), deadline);
}

/// Returns whether the call holds a slot.
asio::awaitable<bool> StandinUpstream::waitForSlot(HttpExchange &exchange, TimePoint deadline)
{
    if (running_ < options_.slots) {
        ++running_;
        co_return true;
    }
    asio::steady_timer turn(executor_, deadline);
    exchange.onCallerGone([&turn] { turn.cancel(); });
    const auto place = waiting_.insert(waiting_.end(), &turn);
    boost::system::error_code ignored;
    co_await turn.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    exchange.onCallerGone(nullptr);
    // freeSlot() takes a call off the list when it hands its slot on.
    const bool handedOver = std::find(waiting_.begin(), waiting_.end(), &turn) == waiting_.end();
    if (!handedOver) {
        waiting_.erase(place);
    }
    co_return handedOver;
}

void StandinUpstream::freeSlot()
{
    if (waiting_.empty()) {
        --running_;
        return;
    }
    asio::steady_timer *next = waiting_.front();
    waiting_.pop_front();
    next->cancel();
}

asio::awaitable<void> StandinUpstream::runInSlot(HttpExchange &exchange, const QueryTarget &target, std::string body,
                                                 TimePoint deadline)
{
    if (exchange.callerGone()) {
        co_return;
    }
    ++counts_.started;
    history_.runStarted(RequestId(requestIdOf(exchange)), headerOf(exchange, "Idempotency-Key"), identity_,
                        leavingSince_);
    const TimePoint end = now() + serviceTime_.draw(now());
    asio::steady_timer work(executor_, std::min(end, deadline));
    exchange.onCallerGone([&work] { work.cancel(); });
    boost::system::error_code ignored;
    co_await work.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    exchange.onCallerGone(nullptr);
    if (exchange.callerGone() || end > deadline) {
        ++counts_.cancelled;
        co_await respondText(exchange, TimeoutStatus, "the deadline passed\n");
        co_return;
    }
    co_await answer(exchange, target, std::move(body));
}

asio::awaitable<void> StandinUpstream::answer(HttpExchange &exchange, const QueryTarget &target, std::string body)
{
    const std::string request = requestIdOf(exchange);
    const std::string bodyDigest = toHex(digestOf(body));
    const std::uint64_t bytes = std::min(target.number("bytes").value_or(DefaultAnswerBytes), LargestAnswerBytes);
    std::string content = standinAnswer(request, bodyDigest, bytes);
    HttpResponseHead head(OkStatus);
    head.headers.add("Standin-Request-Id", request);
    head.headers.add("Standin-Body-Digest", bodyDigest);
    head.headers.add("Standin-Answer-Digest", toHex(digestOf(content)));
    head.headers.add("Standin-Upstream", options_.name);
    ++counts_.finished;
    history_.runFinished(RequestId(request), identity_, OkStatus, content);
    if (!faults_.truncate) {
        (void)co_await exchange.respond(head, std::move(content));
        co_return;
    }
    (void)co_await exchange.beginResponse(head, content.size());
    (void)co_await exchange.writeBody(content.substr(0, content.size() / 2));
    exchange.abort();
}

asio::awaitable<void> StandinUpstream::shed(HttpExchange &exchange, std::string cause)
{
    ++counts_.shed;
    HttpResponseHead head(UnavailableStatus);
    head.headers.add("Retry-After", "1");
    (void)co_await exchange.respond(head, std::move(cause));
}

asio::awaitable<void> StandinUpstream::control(HttpExchange &exchange, const QueryTarget &target)
{
    if (const auto drain = target.number("drain")) {
        leavingSince_ = *drain != 0 ? std::optional(leavingSince_.value_or(now())) : std::nullopt;
        faults_.runsWhileDraining = *drain == RunsWhileDraining;
    }
    if (const auto slow = target.number("slow")) {
        serviceTime_.setSlowFactor(static_cast<double>(std::max<std::uint64_t>(*slow, 1)));
    }
    faults_.failFast = target.number("fail").value_or(faults_.failFast ? 1 : 0) != 0;
    faults_.truncate = target.number("truncate").value_or(faults_.truncate ? 1 : 0) != 0;
    faults_.lie = target.number("lie").value_or(faults_.lie ? 1 : 0) != 0;
    const std::uint16_t status = exchange.head().method == "POST" ? OkStatus : BadRequestStatus;
    co_await respondText(exchange, status, "ok\n");
}

asio::awaitable<void> StandinUpstream::report(HttpExchange &exchange, bool health)
{
    const Report shown = faults_.lie ? Report() : reported_;
    if (health) {
        co_await respondText(exchange, shown.draining ? UnavailableStatus : OkStatus,
                             shown.draining ? "draining\n" : "serving\n");
        co_return;
    }
    std::ostringstream text;
    text << R"({"inFlight":)" << shown.inFlight << R"(,"queued":)" << shown.queued << R"(,"slots":)" << options_.slots
         << "}\n";
    co_await respondText(exchange, OkStatus, text.str());
}

/// The reports lag because they are only renewed once in a while.
asio::awaitable<void> StandinUpstream::refreshReport()
{
    for (;;) {
        reported_ = Report{leavingSince_.has_value(), running_, waiting_.size()};
        co_await sleepFor(std::max<Duration>(options_.reportLag, Milliseconds(1)));
    }
}

std::string StandinUpstream::countsText() const
{
    std::ostringstream text;
    text << R"({"started":)" << counts_.started << R"(,"finished":)" << counts_.finished << R"(,"cancelled":)"
         << counts_.cancelled << R"(,"shed":)" << counts_.shed << R"(,"running":)" << running_ << R"(,"waiting":)"
         << waiting_.size() << "}\n";
    return text.str();
}

}

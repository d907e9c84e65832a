#include "standins/standinplatform.h"

#include <sstream>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t BadRequestStatus = 400;
constexpr std::uint16_t NotFoundStatus = 404;
constexpr std::uint16_t TooManyRequestsStatus = 429;

/// What Consul waits when a blocking query names no time.
constexpr Milliseconds DefaultWait{5 * 60 * 1000};

const std::string KeyPath = "/v1/kv/";

TimePoint now()
{
    return std::chrono::steady_clock::now();
}

/// Reads "5s" and "5000ms".
Duration parseWait(const std::string &text)
{
    constexpr std::uint64_t MillisecondsPerSecond = 1000;
    std::string_view digits = text;
    const bool milliseconds = digits.ends_with("ms");
    digits.remove_suffix(std::min<std::size_t>(digits.size(), milliseconds ? 2 : 1));
    const auto number = parseUnsigned(digits);
    return number ? Milliseconds(milliseconds ? *number : *number * MillisecondsPerSecond) : DefaultWait;
}

}

StandinPlatform::StandinPlatform(asio::any_io_executor executor, StandinPlatformOptions options)
    : executor_(executor)
    , options_(std::move(options))
    , store_(options_.readsPerSecond)
    , changed_(executor, asio::steady_timer::time_point::max())
{
}

asio::awaitable<void> StandinPlatform::handle(HttpExchange &exchange)
{
    const QueryTarget target(exchange.head().target);
    const bool isKey = target.path().starts_with(KeyPath);
    const std::string key = isKey ? target.path().substr(KeyPath.size()) : std::string();
    if (isKey && exchange.head().method == "PUT") {
        co_await put(exchange, key);
    } else if (isKey && exchange.head().method == "GET") {
        co_await read(exchange, target, key);
    } else if (target.path() == "/control/counts") {
        co_await respondText(exchange, OkStatus, countsText());
    } else if (target.path() == "/control") {
        co_await control(exchange, target);
    } else {
        co_await respondText(exchange, BadRequestStatus, "unknown path\n");
    }
}

asio::awaitable<void> StandinPlatform::read(HttpExchange &exchange, const QueryTarget &target, std::string key)
{
    if (store_.isDown(now())) {
        exchange.abort();
        co_return;
    }
    if (!store_.admitRead(now())) {
        HttpResponseHead head(TooManyRequestsStatus);
        head.headers.add("Retry-After", "1");
        (void)co_await exchange.respond(head, std::string());
        co_return;
    }
    if (const auto index = target.number("index")) {
        co_await waitForChange(exchange, key, *index, parseWait(target.find("wait").value_or(std::string())));
    }
    if (store_.isDown(now())) {
        exchange.abort();
        co_return;
    }
    const PlatformStore::Value *value = store_.find(key);
    HttpResponseHead head(value != nullptr ? OkStatus : NotFoundStatus);
    head.headers.add("X-Consul-Index", std::to_string(store_.indexOf(key)));
    std::string content = value != nullptr ? value->content : std::string();
    (void)co_await exchange.respond(head, std::move(content));
}

asio::awaitable<void> StandinPlatform::waitForChange(HttpExchange &exchange, std::string key, std::uint64_t index,
                                                     Duration wait)
{
    const TimePoint end = now() + wait;
    asio::steady_timer limit(executor_, end);
    limit.async_wait([this](boost::system::error_code error) {
        if (!error) {
            changed_.cancel();
        }
    });
    exchange.onCallerGone([this] { changed_.cancel(); });
    store_.beginWatch();
    while (store_.indexOf(key) == index && now() < end && !exchange.callerGone() && !store_.isDown(now())) {
        boost::system::error_code ignored;
        co_await changed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    store_.endWatch();
}

asio::awaitable<void> StandinPlatform::put(HttpExchange &exchange, std::string key)
{
    auto content = co_await readWholeBody(exchange);
    if (!content) {
        co_return;
    }
    if (laggedBy_ > Duration::zero() && key.starts_with(options_.laggedPrefix)) {
        const auto timer = std::make_shared<asio::steady_timer>(executor_, laggedBy_);
        timer->async_wait([this, timer, key, text = std::move(content.value())](boost::system::error_code error) {
            if (!error) {
                publish(key, text);
            }
        });
    } else {
        publish(key, std::move(content.value()));
    }
    co_await respondText(exchange, OkStatus, "true");
}

void StandinPlatform::publish(const std::string &key, std::string content)
{
    store_.put(key, std::move(content));
    changed_.cancel();
}

asio::awaitable<void> StandinPlatform::control(HttpExchange &exchange, const QueryTarget &target)
{
    if (const auto time = target.number("flap_ms"); time && *time > 0) {
        store_.setFlapTime(Milliseconds(*time));
    }
    if (const auto lag = target.number("vms_lag_ms")) {
        laggedBy_ = Milliseconds(*lag);
    }
    if (const auto word = target.find("mode")) {
        const auto mode = platformModeFromString(*word);
        if (!mode) {
            co_await respondText(exchange, BadRequestStatus, "mode is one of up, down, stale, flap\n");
            co_return;
        }
        store_.setMode(*mode, now());
        changed_.cancel();
    }
    co_await respondText(exchange, OkStatus, "ok\n");
}

std::string StandinPlatform::countsText() const
{
    const PlatformStore::Counts &counts = store_.counts();
    std::ostringstream text;
    text << R"({"reads":)" << counts.reads << R"(,"watches":)" << counts.watches << R"(,"waiting":)" << counts.waiting
         << R"(,"refused":)" << counts.refused << R"(,"puts":)" << counts.puts << R"(,"peakPerSecond":)"
         << counts.peakPerSecond << "}\n";
    return text.str();
}

}

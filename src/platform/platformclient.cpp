#include "platform/platformclient.h"

#include <charconv>
#include <optional>
#include <string_view>
#include <utility>

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t NotFoundStatus = 404;
constexpr std::uint16_t TooManyRequestsStatus = 429;

/// The service may lengthen a wait by up to this part of it, so that watches do not end together.
constexpr int WaitJitterDivisor = 16;

PlatformProblem problemOf(const Failure &failure)
{
    switch (failure.reason) {
    case Reason::DeadlinePassed:
        return PlatformProblem::TimedOut;
    case Reason::TooLarge:
        return PlatformProblem::TooLarge;
    case Reason::BadAnswer:
        return PlatformProblem::BadAnswer;
    default:
        return PlatformProblem::Unreachable;
    }
}

PlatformFailure platformFailure(const Failure &failure)
{
    return PlatformFailure{problemOf(failure), failure.detail};
}

std::optional<std::uint64_t> parseNumber(std::optional<std::string_view> text)
{
    std::uint64_t number = 0;
    if (!text || text->empty()) {
        return std::nullopt;
    }
    const char *end = text->data() + text->size();
    const auto result = std::from_chars(text->data(), end, number);
    return result.ec == std::errc{} && result.ptr == end ? std::optional(number) : std::nullopt;
}

std::string targetOf(const PlatformKey &key)
{
    constexpr std::string_view Plain = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
    constexpr std::string_view Digits = "0123456789ABCDEF";
    constexpr unsigned HexBase = 16;
    std::string target = "/v1/kv/";
    for (const char letter : key.value()) {
        if (Plain.find(letter) != std::string_view::npos) {
            target += letter;
            continue;
        }
        const auto code = static_cast<unsigned char>(letter);
        target += '%';
        target += Digits[code / HexBase];
        target += Digits[code % HexBase];
    }
    return target + "?raw";
}

/// What an answer without a value means; nothing for one with a value.
std::optional<PlatformFailure> failureOf(const HttpResponseHead &head, std::optional<std::uint64_t> index)
{
    if (head.status == TooManyRequestsStatus) {
        const auto seconds = parseNumber(head.headers.find("Retry-After"));
        return PlatformFailure{PlatformProblem::Throttled, "too many reads", std::chrono::seconds(seconds.value_or(0))};
    }
    if (head.status == NotFoundStatus) {
        return PlatformFailure{PlatformProblem::Absent, "no such key", Milliseconds(0), index.value_or(0)};
    }
    if (head.status != OkStatus) {
        return PlatformFailure{PlatformProblem::BadAnswer, "status " + std::to_string(head.status)};
    }
    if (!index) {
        return PlatformFailure{PlatformProblem::BadAnswer, "no X-Consul-Index"};
    }
    return std::nullopt;
}

}

PlatformClient::PlatformClient(asio::any_io_executor executor, Endpoint endpoint, PlatformLimits limits)
    : pool_(std::move(executor), HttpPoolLimits())
    , endpoint_(std::move(endpoint))
    , limits_(limits)
{
}

asio::awaitable<PlatformResult<PlatformValue>> PlatformClient::read(PlatformKey key)
{
    ++counts_.reads;
    return get(targetOf(key), limits_.readTimeout);
}

asio::awaitable<PlatformResult<PlatformValue>> PlatformClient::watch(PlatformKey key, std::uint64_t index,
                                                                     Milliseconds wait)
{
    ++counts_.watches;
    const std::string query = "&index=" + std::to_string(index) + "&wait=" + std::to_string(wait.count()) + "ms";
    return get(targetOf(key) + query, wait + wait / WaitJitterDivisor + limits_.readTimeout);
}

asio::awaitable<PlatformResult<PlatformValue>> PlatformClient::get(std::string target, Duration timeout)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    auto call = co_await pool_.open(endpoint_, deadline);
    if (!call) {
        ++counts_.failures;
        co_return platformFailure(call.error());
    }
    auto value = co_await exchange(*call.value(), std::move(target));
    counts_.failures += value ? 0 : 1;
    co_return value;
}

asio::awaitable<PlatformResult<PlatformValue>> PlatformClient::exchange(HttpClientCall &call, std::string target)
{
    if (auto sent = co_await call.sendRequest(HttpRequestHead("GET", std::move(target)), std::string()); !sent) {
        co_return platformFailure(sent.error());
    }
    auto head = co_await call.readHead();
    if (!head) {
        co_return platformFailure(head.error());
    }
    const auto index = parseNumber(head.value().headers.find("X-Consul-Index"));
    auto body = co_await call.readWholeBody(limits_.valueBytes);
    if (!body) {
        co_return platformFailure(body.error());
    }
    if (auto failure = failureOf(head.value(), index)) {
        co_return std::move(*failure);
    }
    co_return PlatformValue{std::move(body.value()), *index};
}

}

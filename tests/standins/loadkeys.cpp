#include "standins/loadkeys.h"

#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "core/digest.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr int KeysAtOnce = 64;
constexpr Milliseconds FetchTimeout{2000};
constexpr Bytes LargestAnswer{std::uint64_t{1024} * 1024};
constexpr std::uint16_t OkStatus = 200;

}

LoadKeys::LoadKeys(HttpConnectionPool &pool, KeySource source, std::uint64_t seed)
    : pool_(pool)
    , source_(source)
    , random_(seed)
{
}

asio::awaitable<std::optional<std::string>> LoadKeys::take(std::string service, Endpoint ingress)
{
    if (source_ == KeySource::None) {
        co_return std::nullopt;
    }
    if (source_ == KeySource::Random) {
        co_return toHex(Digest{random_(), random_()});
    }
    if (keys_[service].empty()) {
        co_await fetch(service, ingress);
    }
    std::deque<std::string> &keys = keys_[service];
    if (keys.empty()) {
        co_return std::nullopt;
    }
    std::string key = std::move(keys.front());
    keys.pop_front();
    co_return key;
}

void LoadKeys::offer(const std::string &service, std::optional<std::string_view> key)
{
    if (source_ == KeySource::Header && key) {
        keys_[service].emplace_back(*key);
    }
}

asio::awaitable<void> LoadKeys::fetch(std::string service, Endpoint ingress)
{
    const HttpRequestHead head("POST", "/.egretpath/keys?service=" + service + "&count=" + std::to_string(KeysAtOnce));
    const TimePoint deadline = std::chrono::steady_clock::now() + FetchTimeout;
    auto call = co_await pool_.open(std::move(ingress), deadline);
    if (!call) {
        co_return;
    }
    const auto sent = co_await call.value()->sendRequest(head, std::string());
    if (!sent) {
        co_return;
    }
    const auto response = co_await call.value()->readHead();
    if (!response || response.value().status != OkStatus) {
        co_return;
    }
    const auto body = co_await call.value()->readWholeBody(LargestAnswer);
    boost::system::error_code error;
    const boost::json::value answer = boost::json::parse(body ? body.value() : std::string(), error);
    if (error || !answer.is_array()) {
        co_return;
    }
    for (const boost::json::value &key : answer.get_array()) {
        if (key.is_string()) {
            keys_[service].emplace_back(key.get_string());
        }
    }
}

}

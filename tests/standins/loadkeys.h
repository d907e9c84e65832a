#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "core/random.h"
#include "core/strongtype.h"
#include "http/httpconnectionpool.h"
#include "standins/loadplan.h"

namespace Egretpath
{

/// Idempotency keys that callers hold in advance, for each service. Thread safety: none.
class LoadKeys
{
public:
    LoadKeys(HttpConnectionPool &pool, KeySource source, std::uint64_t seed);

    /// A key for one payment or upload; asks @p ingress for more when none is left. Nothing when none can be had.
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> take(std::string service, Endpoint ingress);
    /// Keeps the key that came with an answer, when keys come from there.
    void offer(const std::string &service, std::optional<std::string_view> key);

private:
    [[nodiscard]] boost::asio::awaitable<void> fetch(std::string service, Endpoint ingress);

    HttpConnectionPool &pool_;
    KeySource source_;
    Random random_;
    std::map<std::string, std::deque<std::string>> keys_;
};

}

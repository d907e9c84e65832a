#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include "http/httpexchange.h"
#include "standins/platformstore.h"
#include "standins/querytarget.h"

namespace Egretpath
{

struct StandinPlatformOptions
{
    std::uint64_t readsPerSecond = 2000;
    /// Writes to keys that begin so become visible late, like the platform's list of VMs.
    std::string laggedPrefix = "egretpath/vms";
};

/// Serves the platform's key-value interface from memory; see docs/standins.md. Thread safety: none.
class StandinPlatform
{
public:
    StandinPlatform(boost::asio::any_io_executor executor, StandinPlatformOptions options);

    [[nodiscard]] boost::asio::awaitable<void> handle(HttpExchange &exchange);

private:
    [[nodiscard]] boost::asio::awaitable<void> read(HttpExchange &exchange, const QueryTarget &target, std::string key);
    [[nodiscard]] boost::asio::awaitable<void> waitForChange(HttpExchange &exchange, std::string key,
                                                             std::uint64_t index, Duration wait);
    [[nodiscard]] boost::asio::awaitable<void> put(HttpExchange &exchange, std::string key);
    [[nodiscard]] boost::asio::awaitable<void> control(HttpExchange &exchange, const QueryTarget &target);
    void publish(const std::string &key, std::string content);
    [[nodiscard]] std::string countsText() const;

    boost::asio::any_io_executor executor_;
    StandinPlatformOptions options_;
    PlatformStore store_;
    /// Never expires; cancelled when a watch may have to end.
    boost::asio::steady_timer changed_;
    Duration laggedBy_{0};
};

}

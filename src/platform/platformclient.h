#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/strongtype.h"
#include "http/httpconnectionpool.h"
#include "platform/platformfailure.h"

namespace Egretpath
{

/// A key of the platform's service, for example "egretpath/table".
using PlatformKey = Name<struct PlatformKeyTag>;

/// One value as the service held it.
struct PlatformValue
{
    std::string value;
    /// Grows with every change of the key. It says nothing about the age of the service's copy: a service that was
    /// restored from an older state may show a smaller one.
    std::uint64_t index = 0;
};

struct PlatformLimits
{
    Bytes valueBytes{std::uint64_t{1024} * 1024};
    /// For a read, and for a watch on top of its waiting time.
    Duration readTimeout = Milliseconds(2000);
};

/// Calls to the service since the start. The service counts each of them against its limit.
struct PlatformCounts
{
    std::uint64_t reads = 0;
    std::uint64_t watches = 0;
    std::uint64_t failures = 0;
};

/// Reads and watches keys of the platform's service by the HTTP interface of Consul's key-value store:
/// GET /v1/kv/KEY?raw, the index in X-Consul-Index, and blocking queries by ?index=N&wait=T.
///
/// It never repeats a read on its own; how often to ask is the caller's decision.
/// Thread safety: none; use it on the thread of its executor. Awaited operations must end before the destructor runs.
class PlatformClient
{
public:
    PlatformClient(boost::asio::any_io_executor executor, Endpoint endpoint, PlatformLimits limits = PlatformLimits());

    /// The value of @p key now. Errors: see PlatformProblem.
    [[nodiscard]] boost::asio::awaitable<PlatformResult<PlatformValue>> read(PlatformKey key);

    /// Waits until the index of @p key is another than @p index, at most @p wait, and returns the value then. An
    /// unchanged index means that nothing happened. The service counts the watch for as long as it waits.
    /// Precondition: @p index came from an earlier answer. Errors: as read().
    [[nodiscard]] boost::asio::awaitable<PlatformResult<PlatformValue>> watch(PlatformKey key, std::uint64_t index,
                                                                              Milliseconds wait);

    [[nodiscard]] const PlatformCounts &counts() const { return counts_; }

private:
    [[nodiscard]] boost::asio::awaitable<PlatformResult<PlatformValue>> get(std::string target, Duration timeout);
    [[nodiscard]] boost::asio::awaitable<PlatformResult<PlatformValue>> exchange(HttpClientCall &call,
                                                                                 std::string target);

    HttpConnectionPool pool_;
    Endpoint endpoint_;
    PlatformLimits limits_;
    PlatformCounts counts_;
};

}

#include "client/nodepage.h"

#include <exception>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include "http/httpconnectionpool.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr Bytes MaxPageSize{std::uint64_t{4} * 1024 * 1024};
constexpr std::uint16_t OkStatus = 200;

asio::awaitable<Result<std::string>> readPage(HttpConnectionPool &pool, Endpoint endpoint, std::string target,
                                              TimePoint deadline)
{
    auto call = co_await pool.open(endpoint, deadline);
    if (!call) {
        co_return call.error();
    }
    HttpRequestHead head("GET", std::move(target));
    const Result<void> sent = co_await call.value()->sendRequest(std::move(head), std::string());
    if (!sent) {
        co_return sent.error();
    }
    const Result<HttpResponseHead> answer = co_await call.value()->readHead();
    if (!answer) {
        co_return answer.error();
    }
    if (answer.value().status != OkStatus) {
        co_return notRun(Reason::BadAnswer, "status " + std::to_string(answer.value().status));
    }
    co_return co_await call.value()->readCompleteBody(MaxPageSize);
}

asio::awaitable<void> readPageInto(HttpConnectionPool &pool, Endpoint endpoint, std::string target, TimePoint deadline,
                                   std::optional<Result<std::string>> &result)
{
    result.emplace(co_await readPage(pool, std::move(endpoint), std::move(target), deadline));
}

}

std::vector<Result<std::string>> readPages(const std::vector<Endpoint> &nodes, const std::string &target,
                                           Duration timeout)
{
    asio::io_context context;
    HttpPoolLimits limits;
    limits.connections = nodes.size() + 1;
    HttpConnectionPool pool(context.get_executor(), limits);
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    std::vector<std::optional<Result<std::string>>> results(nodes.size());
    std::size_t pendingReads = nodes.size();
    const auto onPageRead = [&context, &pendingReads] {
        // The idle connections of the pool count as work of the loop. Without stop() the loop would run until its time
        // limit.
        if (--pendingReads == 0) {
            context.stop();
        }
    };
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        asio::co_spawn(context, readPageInto(pool, nodes[index], target, deadline, results[index]),
                       [&onPageRead](const std::exception_ptr & /*none*/) { onPageRead(); });
    }
    context.run_until(deadline + timeout);
    std::vector<Result<std::string>> pages;
    pages.reserve(nodes.size());
    for (std::optional<Result<std::string>> &result : results) {
        pages.push_back(result ? std::move(*result) : notRun(Reason::DeadlinePassed, "no answer"));
    }
    return pages;
}

}

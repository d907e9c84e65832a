#include "client/nodestatus.h"

#include <fstream>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "http/httpconnectionpool.h"

namespace Egretpath
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

constexpr Bytes StatusLimit{64 * 1024};

std::string textOf(const json::object &status, std::string_view key)
{
    const json::value *value = status.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

bool flagOf(const json::object &status, std::string_view key)
{
    const json::value *value = status.if_contains(key);
    return value != nullptr && value->is_bool() && value->as_bool();
}

std::optional<TableVersion> versionOf(const json::object &status, std::string_view key)
{
    const json::value *value = status.if_contains(key);
    if (value == nullptr || !value->is_object()) {
        return std::nullopt;
    }
    const json::object &version = value->as_object();
    const json::value *number = version.if_contains("number");
    TableVersion read;
    if (number == nullptr || !number->is_int64() || !fromHex(textOf(version, "digest"), read.digest)) {
        return std::nullopt;
    }
    read.number = TableNumber(static_cast<std::uint64_t>(number->as_int64()));
    return read;
}

NodeStatusResult parseStatus(const Endpoint &endpoint, const std::string &text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object()) {
        return notRun(Reason::BadAnswer, endpoint.value() + ": no status of a node");
    }
    const json::object &status = parsed.as_object();
    NodeStatus read;
    read.endpoint = endpoint;
    read.upstream = textOf(status, "upstream");
    read.incarnation = textOf(status, "incarnation");
    read.start = textOf(status, "start");
    read.table = versionOf(status, "table");
    read.refusedTable = textOf(status, "table_refused");
    read.conflict = flagOf(status, "table_conflict");
    read.leaving = flagOf(status, "leaving");
    return read;
}

asio::awaitable<NodeStatusResult> readStatus(HttpConnectionPool &pool, Endpoint endpoint, TimePoint deadline)
{
    auto call = co_await pool.open(endpoint, deadline);
    if (!call) {
        co_return call.error();
    }
    HttpRequestHead head;
    head.target = "/status";
    const Result<void> sent = co_await call.value()->sendRequest(std::move(head), std::string());
    if (!sent) {
        co_return sent.error();
    }
    const Result<HttpResponseHead> answer = co_await call.value()->readHead();
    if (!answer) {
        co_return answer.error();
    }
    const Result<std::string> body = co_await call.value()->readWholeBody(StatusLimit);
    if (!body) {
        co_return body.error();
    }
    co_return parseStatus(endpoint, body.value());
}

asio::awaitable<void> readInto(HttpConnectionPool &pool, Endpoint endpoint, TimePoint deadline,
                               std::optional<NodeStatusResult> &result)
{
    result.emplace(co_await readStatus(pool, std::move(endpoint), deadline));
}

}

std::vector<NodeStatusResult> readStatuses(const std::vector<Endpoint> &nodes, Duration limit)
{
    asio::io_context context;
    HttpPoolLimits limits;
    limits.connections = nodes.size() + 1;
    HttpConnectionPool pool(context.get_executor(), limits);
    const TimePoint deadline = std::chrono::steady_clock::now() + limit;
    std::vector<std::optional<NodeStatusResult>> results(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        asio::co_spawn(context, readInto(pool, nodes[index], deadline, results[index]), asio::detached);
    }
    context.run_until(deadline + limit);
    std::vector<NodeStatusResult> statuses;
    statuses.reserve(nodes.size());
    for (std::optional<NodeStatusResult> &result : results) {
        statuses.push_back(result ? std::move(*result) : notRun(Reason::DeadlinePassed, "no answer"));
    }
    return statuses;
}

std::optional<std::vector<Endpoint>> readNodeFile(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return std::nullopt;
    }
    std::vector<Endpoint> nodes;
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && !line.starts_with('#')) {
            nodes.emplace_back(line);
        }
    }
    return nodes;
}

}

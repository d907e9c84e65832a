#include "client/nodestatus.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "client/nodepage.h"

namespace Egretpath
{

namespace asio = boost::asio;
namespace json = boost::json;

namespace
{

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

std::uint64_t numberOf(const json::object &status, std::string_view key)
{
    const json::value *value = status.if_contains(key);
    boost::system::error_code error;
    const auto number = value != nullptr ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

NodeStatusResult parseStatus(const Endpoint &endpoint, const std::string &text)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    if (error || !parsed.is_object()) {
        return notRun(Reason::BadAnswer, endpoint.value() + ": not a status of a node");
    }
    const json::object &status = parsed.as_object();
    NodeStatus read;
    read.endpoint = endpoint;
    read.node = textOf(status, "node");
    read.incarnation = textOf(status, "incarnation");
    read.ready = flagOf(status, "ready");
    read.routes = RouteVersion(numberOf(status, "routes"));
    read.list = numberOf(status, "list");
    read.source = textOf(status, "source");
    read.reads = flagOf(status, "reads");
    read.store = textOf(status, "store");
    read.searchingFor = Milliseconds(numberOf(status, "searching_ms"));
    read.evacuated = textOf(status, "evacuated");
    read.limited = textOf(status, "limited");
    read.shortServices = textOf(status, "short");
    read.linkBacklog = Milliseconds(numberOf(status, "link_backlog_ms"));
    read.quarantined = numberOf(status, "quarantined");
    read.heldAnswerBytes = numberOf(status, "held_answer_bytes");
    return read;
}

}

std::vector<NodeStatusResult> readStatuses(const std::vector<Endpoint> &nodes, Duration timeout)
{
    const std::vector<Result<std::string>> pages = readPages(nodes, "/status", timeout);
    std::vector<NodeStatusResult> statuses;
    statuses.reserve(nodes.size());
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (pages[index]) {
            statuses.push_back(parseStatus(nodes[index], pages[index].value()));
        } else {
            statuses.emplace_back(pages[index].error());
        }
    }
    return statuses;
}

}

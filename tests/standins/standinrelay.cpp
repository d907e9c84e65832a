#include "standins/standinrelay.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "http/tcpendpoint.h"
#include "standins/querytarget.h"
#include "standins/standinprogram.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{

constexpr std::uint16_t OkStatus = 200;
constexpr std::uint16_t BadRequestStatus = 400;

void resetSocket(const std::shared_ptr<tcp::socket> &socket)
{
    boost::system::error_code ignored;
    if (socket && socket->is_open()) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

}

StandinRelay::StandinRelay(asio::any_io_executor executor, tcp::endpoint target)
    : executor_(executor)
    , target_(std::move(target))
    , acceptor_(executor)
    , conditions_(std::make_shared<RelayConditions>())
{
}

Endpoint StandinRelay::listen(const tcp::endpoint &endpoint)
{
    acceptor_ = tcp::acceptor(executor_, endpoint, true);
    asio::co_spawn(
        executor_, [this] { return acceptLoop(); }, asio::detached);
    return toEndpoint(acceptor_.local_endpoint());
}

asio::awaitable<void> StandinRelay::acceptLoop()
{
    for (;;) {
        const auto client = std::make_shared<tcp::socket>(co_await acceptor_.async_accept(asio::use_awaitable));
        if (isRefusing_) {
            resetSocket(client);
            continue;
        }
        asio::co_spawn(
            executor_, [this, client] { return relay(client); }, asio::detached);
    }
}

asio::awaitable<void> StandinRelay::relay(Socket client)
{
    const auto server = std::make_shared<tcp::socket>(executor_);
    boost::system::error_code error;
    co_await server->async_connect(target_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(client);
        co_return;
    }
    client->set_option(tcp::no_delay(true), error);
    server->set_option(tcp::no_delay(true), error);
    const auto request = std::make_shared<RelayDirection>(client, server, conditions_, true);
    const auto response = std::make_shared<RelayDirection>(server, client, conditions_, false);
    std::erase_if(connections_, [](const Connection &connection) { return connection.client.expired(); });
    connections_.push_back(Connection{client, server, request, response});
    request->start();
    response->start();
}

void StandinRelay::wakeAll()
{
    for (const Connection &connection : connections_) {
        for (const auto &weak : {connection.request, connection.response}) {
            if (const auto direction = weak.lock()) {
                direction->wake();
            }
        }
    }
}

void StandinRelay::resetAll()
{
    for (const Connection &connection : connections_) {
        resetSocket(connection.client.lock());
        resetSocket(connection.server.lock());
    }
    wakeAll();
    connections_.clear();
}

void StandinRelay::setConditions(const RelayConditions &conditions)
{
    *conditions_ = conditions;
    wakeAll();
}

void StandinRelay::reset(bool refusing)
{
    isRefusing_ = refusing;
    resetAll();
}

void StandinRelay::silenceOpenConnections()
{
    const RelayConditions previous = *conditions_;
    conditions_->partitioned = true;
    wakeAll();
    conditions_ = std::make_shared<RelayConditions>(previous);
}

asio::awaitable<void> StandinRelay::control(HttpExchange &exchange)
{
    const QueryTarget target(exchange.head().target);
    if (const auto delay = target.number("delay_ms")) {
        conditions_->delay = Milliseconds(*delay);
    }
    if (const auto rate = target.number("bytes_per_second")) {
        conditions_->bytesPerSecond = *rate;
    }
    if (const auto hold = target.number("hold")) {
        conditions_->holdRequests = *hold != 0;
    }
    const std::string cut = target.find("cut").value_or(std::string());
    if (!cut.empty()) {
        conditions_->partitioned = cut == "drop";
        isRefusing_ = cut == "reset";
    }
    if (isRefusing_) {
        resetAll();
    }
    wakeAll();
    const bool isValid = cut.empty() || cut == "drop" || cut == "reset" || cut == "none";
    co_await respondText(exchange, isValid ? OkStatus : BadRequestStatus,
                         isValid ? "ok\n" : "cut must be none, drop or reset\n");
}

}

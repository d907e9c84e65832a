#include "node/healthcontroller.h"

#include <utility>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr int ReportsNeeded = 2;
constexpr std::uint16_t ServiceUnavailable = 503;
constexpr Bytes AnswerLimit{4096};
constexpr std::string_view DrainingWord = "draining";

}

HealthController::HealthController(asio::any_io_executor executor, Blackboard &board,
                                   std::function<void()> drainChanged)
    : executor_(std::move(executor))
    , board_(board)
    , drainChanged_(std::move(drainChanged))
    , pool_(executor_, HttpPoolLimits{})
{
}

asio::awaitable<void> HealthController::run()
{
    asio::steady_timer timer(executor_);
    while (true) {
        if (const std::optional<bool> draining = co_await askWhetherDraining()) {
            take(*draining);
        }
        timer.expires_after(board_.settings.upstream.healthInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

asio::awaitable<std::optional<bool>> HealthController::askWhetherDraining()
{
    const TimePoint deadline = currentTime() + board_.settings.upstream.healthInterval;
    auto call = co_await pool_.open(board_.settings.upstream.address, deadline);
    if (!call) {
        co_return std::nullopt;
    }
    HttpRequestHead request;
    request.target = board_.settings.upstream.healthPath;
    if (!co_await call.value()->sendRequest(std::move(request), {})) {
        co_return std::nullopt;
    }
    const Result<HttpResponseHead> head = co_await call.value()->readHead();
    if (!head) {
        co_return std::nullopt;
    }
    const Result<std::string> body = co_await call.value()->readWholeBody(AnswerLimit);
    if (!body) {
        co_return std::nullopt;
    }
    const bool saysDraining = body.value().find(DrainingWord) != std::string::npos;
    co_return saysDraining &&head.value().status == ServiceUnavailable;
}

void HealthController::take(bool draining)
{
    sameReports_ = draining == lastReport_ ? sameReports_ + 1 : 1;
    lastReport_ = draining;
    if (sameReports_ < ReportsNeeded || board_.leaving.upstreamDrains == draining) {
        return;
    }
    board_.leaving.upstreamDrains = draining;
    board_.log.info(StructuredLine("upstream-drain").add("draining", draining ? "yes" : "no"));
    drainChanged_();
}

}

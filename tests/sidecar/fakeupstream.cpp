#include "fakeupstream.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "wirefields.h"

namespace Egretpath
{

namespace asio = boost::asio;

FakeUpstream::FakeUpstream(asio::any_io_executor executor, std::string id)
    : ListedUpstream(std::move(id))
    , executor_(std::move(executor))
{
    listen();
}

void FakeUpstream::listen()
{
    server_ = std::make_unique<HttpServer>(executor_, HttpLimits(),
                                           [this](HttpExchange &exchange) { return serve(exchange); });
    address_ = server_->listen(address_).value();
}

asio::awaitable<void> FakeUpstream::crash()
{
    if (!server_) {
        co_return;
    }
    ++crashes_;
    server_->closeAll();
    server_.reset();
    asio::steady_timer timer(executor_, restartTime);
    co_await timer.async_wait(asio::use_awaitable);
    listen();
}

int FakeUpstream::runs(const std::string &request) const
{
    const auto found = runs_.find(request);
    return found == runs_.end() ? 0 : found->second;
}

int FakeUpstream::totalRuns() const
{
    return std::accumulate(runs_.begin(), runs_.end(), 0, [](int sum, const auto &item) { return sum + item.second; });
}

std::string FakeUpstream::lastHeader(const std::string &name) const
{
    return std::string(lastHeaders_.find(name).value_or("none"));
}

asio::awaitable<void> FakeUpstream::serve(HttpExchange &exchange)
{
    HttpResponseHead head(status);
    const std::string request(exchange.head().headers.find(AttemptId).value_or(std::string_view()));
    head.headers.add("X-Egretpath-Instance-Load",
                     std::to_string(runningRequests_) + ",0,6," + std::to_string(slowdown));
    if (!namedLimit.empty()) {
        head.headers.add("Server-Limit", namedLimit);
    }
    if (saysItLeaves) {
        head.headers.add("Server-Leaving", "1");
    }
    if (exchange.head().target == "/health") {
        head.status = saysItLeaves ? 503 : 200;
        if (!warmUpLeft.empty()) {
            head.headers.add("X-Egretpath-Warmup-Ms", warmUpLeft);
        }
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    std::string body;
    while (true) {
        auto piece = co_await exchange.readBody();
        if (!piece || piece.value().empty()) {
            break;
        }
        body += piece.value();
    }
    lastHeaders_ = exchange.head().headers;
    head.headers.add(std::string(AttemptId), request);
    const std::string target(lastHeaders_.find("X-Egretpath-Target-Instance").value_or(std::string_view()));
    if (target != id_) {
        head.status = 421;
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    if (status == 503) {
        head.headers.add("X-Egretpath-Not-Executed", "1");
        (void)co_await exchange.respond(head, "");
        co_return;
    }
    if (neverAnswers) {
        co_await waitForDisconnect(exchange);
        co_return;
    }
    ++runs_[request];
    ++runningRequests_;
    exchange.onCallerDisconnected([this] { ++cancelledRuns_; });
    asio::steady_timer timer(co_await asio::this_coro::executor, runDuration);
    co_await timer.async_wait(asio::use_awaitable);
    --runningRequests_;
    if (!crashesOn.empty() && exchange.head().target == crashesOn) {
        if (!exchange.callerDisconnected()) {
            asio::co_spawn(executor_, crash(), asio::detached);
        }
        co_return;
    }
    if (disconnectsAfterRun || (disconnectsAfterEach > 0 && totalRuns() % disconnectsAfterEach == 0)) {
        exchange.abort();
        co_return;
    }
    if (!omitsDigest) {
        head.headers.add("X-Egretpath-Server-Signature", "3e1b." + request);
    }
    if (answerBytes > 0) {
        co_await sendLargeAnswer(exchange, std::move(head));
        co_return;
    }
    (void)co_await exchange.respond(head,
                                    id_ + ":" + exchange.head().method + ":" + exchange.head().target + ":" + body);
}

std::string FakeUpstream::contentBetween(std::size_t begin, std::size_t end)
{
    constexpr std::size_t Run = 1000;
    std::string content;
    for (std::size_t position = begin; position < end; ++position) {
        content += static_cast<char>('a' + position / Run % 26);
    }
    return content;
}

asio::awaitable<void> FakeUpstream::sendLargeAnswer(HttpExchange &exchange, HttpResponseHead head)
{
    constexpr std::size_t PieceBytes = 10'000;
    const std::size_t size = answerBytes;
    const std::optional<std::uint64_t> length = announcesLength ? std::optional<std::uint64_t>(size) : std::nullopt;
    (void)co_await exchange.startResponse(std::move(head), length);
    asio::steady_timer timer(co_await asio::this_coro::executor);
    for (std::size_t sent = 0; sent < size; sent += PieceBytes) {
        if (*abortsLeft > 0 && sent >= abortsAfter) {
            --*abortsLeft;
            exchange.abort();
            co_return;
        }
        const auto written = co_await exchange.writeBody(contentBetween(sent, std::min(sent + PieceBytes, size)));
        if (!written) {
            co_return;
        }
        timer.expires_after(piecePause);
        co_await timer.async_wait(asio::use_awaitable);
    }
    const auto finished = co_await exchange.finishResponse();
    finishedAnswers += finished ? 1 : 0;
}

asio::awaitable<void> FakeUpstream::waitForDisconnect(HttpExchange &exchange)
{
    constexpr Milliseconds Step{5};
    asio::steady_timer timer(co_await asio::this_coro::executor);
    while (!exchange.callerDisconnected()) {
        timer.expires_after(Step);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

}

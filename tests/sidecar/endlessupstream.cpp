#include "endlessupstream.h"

#include <algorithm>
#include <numeric>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "core/currenttime.h"
#include "http/tcpendpoint.h"
#include "wirefields.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";
constexpr std::string_view ProperAnswer = "HTTP/1.1 200 OK\r\nX-Egretpath-Instance-Load: 0,0,6,100\r\n"
                                          "X-Egretpath-Server-Signature: 3e1b\r\nContent-Length: 2\r\n\r\nok";
/// Enough of the repeated bytes for one write.
constexpr std::size_t WriteBytes = std::size_t{64} * 1024;

std::string fieldOf(const std::string &head, std::string_view name)
{
    const std::size_t found = head.find(std::string(name) + ": ");
    if (found == std::string::npos) {
        return {};
    }
    const std::size_t begin = found + name.size() + 2;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

std::string withId(std::string text, const std::string &request)
{
    constexpr std::string_view Placeholder = "{id}";
    for (std::size_t at = text.find(Placeholder); at != std::string::npos; at = text.find(Placeholder)) {
        text.replace(at, Placeholder.size(), request);
    }
    return text;
}

}

EndlessUpstream::EndlessUpstream(asio::any_io_executor executor, std::string id, EndlessAnswer answer)
    : ListedUpstream(std::move(id))
    , executor_(std::move(executor))
    , answer_(std::move(answer))
    , acceptor_(executor_, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
{
    address_ = toEndpoint(acceptor_.local_endpoint());
    asio::co_spawn(executor_, accept(), asio::detached);
}

int EndlessUpstream::runs(const std::string &request) const
{
    const auto found = runs_.find(request);
    return found == runs_.end() ? 0 : found->second;
}

int EndlessUpstream::totalRuns() const
{
    return std::accumulate(runs_.begin(), runs_.end(), 0, [](int sum, const auto &item) { return sum + item.second; });
}

std::vector<Milliseconds> EndlessUpstream::sendTimes() const
{
    std::vector<Milliseconds> times;
    for (const auto &sending : sendings_) {
        const TimePoint end = sending->ended == TimePoint() ? currentTime() : sending->ended;
        times.push_back(std::chrono::duration_cast<Milliseconds>(end - sending->began));
    }
    return times;
}

bool EndlessUpstream::isSending() const
{
    return std::any_of(sendings_.begin(), sendings_.end(),
                       [](const auto &sending) { return sending->ended == TimePoint(); });
}

asio::awaitable<void> EndlessUpstream::accept()
{
    while (true) {
        error_code error;
        tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        asio::co_spawn(executor_, serve(std::make_shared<tcp::socket>(std::move(socket))), asio::detached);
    }
}

asio::awaitable<void> EndlessUpstream::serve(Socket socket)
{
    std::string input;
    error_code error;
    while (true) {
        const std::size_t size = co_await asio::async_read_until(*socket, asio::dynamic_buffer(input), HeadEnd,
                                                                 asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        const std::string head = input.substr(0, size);
        input.erase(0, size);
        const bool isHealthCheck = head.starts_with("GET /health ");
        const std::string request = fieldOf(head, AttemptId);
        runs_[request] += isHealthCheck || answer_.isRefusal ? 0 : 1;
        if (isHealthCheck ? answer_.isForHealthChecks : answer_.isForRequests) {
            co_await sendEndless(socket, request);
            co_return;
        }
        co_await asio::async_write(*socket, asio::buffer(ProperAnswer),
                                   asio::redirect_error(asio::use_awaitable, error));
    }
}

asio::awaitable<void> EndlessUpstream::sendAndClose(Socket socket, std::string bytes, bool isReset)
{
    error_code error;
    co_await asio::async_write(*socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
    if (isReset) {
        socket->set_option(asio::socket_base::linger(true, 0), error);
    }
    socket->close(error);
}

asio::awaitable<void> EndlessUpstream::sendEndless(Socket socket, std::string request)
{
    const auto sending = sendings_.emplace_back(std::make_shared<Sending>());
    sending->began = currentTime();
    const std::string begin = withId(answer_.begin, request);
    if (answer_.repeated.empty()) {
        co_await sendAndClose(socket, begin, answer_.isReset);
        sending->ended = currentTime();
        co_return;
    }
    std::string repeated = withId(answer_.repeated, request);
    const bool isFast = answer_.pause == Milliseconds{0};
    for (const std::string once = repeated; isFast && repeated.size() < WriteBytes;) {
        repeated += once;
    }
    error_code error;
    co_await asio::async_write(*socket, asio::buffer(begin), asio::redirect_error(asio::use_awaitable, error));
    asio::steady_timer timer(executor_);
    while (!error) {
        co_await asio::async_write(*socket, asio::buffer(repeated), asio::redirect_error(asio::use_awaitable, error));
        if (!isFast && !error) {
            timer.expires_after(answer_.pause);
            co_await timer.async_wait(asio::use_awaitable);
        }
    }
    sending->ended = currentTime();
}

}

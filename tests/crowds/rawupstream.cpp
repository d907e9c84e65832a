#include "crowds/rawupstream.h"

#include <array>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

RawUpstream::RawUpstream(asio::io_context &context, const Endpoint &address, std::string id, std::uint32_t slots,
                         Answerer answerer)
    : acceptor_(context, *toTcpEndpoint(address))
    , id_(std::move(id))
    , slots_(slots)
    , answerer_(std::move(answerer))
{
    asio::co_spawn(context, accept(), asio::detached);
}

asio::awaitable<void> RawUpstream::accept()
{
    error_code error;
    while (!error) {
        tcp::socket socket = co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), asio::detached);
        }
    }
}

asio::awaitable<void> RawUpstream::serve(tcp::socket socket)
{
    constexpr std::string_view HeadEnd = "\r\n\r\n";
    std::string text;
    error_code error;
    bool isHealthCheck = true;
    while (isHealthCheck && !error) {
        std::size_t headEnd = std::string::npos;
        while (!error && (headEnd = text.find(HeadEnd)) == std::string::npos) {
            std::array<char, 4096> piece{};
            const std::size_t count =
                co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
            text.append(piece.data(), count);
        }
        if (error) {
            break;
        }
        isHealthCheck = text.starts_with("GET /health ");
        const std::size_t bodyStart = headEnd + HeadEnd.size();
        if (isHealthCheck) {
            text.erase(0, bodyStart);
            isHealthCheck = co_await writeText(socket, healthAnswer());
        } else {
            RawRequest request{text.substr(0, bodyStart), text.size() - bodyStart};
            ++running_;
            co_await answerer_(socket, std::move(request));
            --running_;
        }
    }
}

std::string RawUpstream::healthAnswer() const
{
    const std::string load = std::to_string(running_) + ",0," + std::to_string(slots_);
    return "HTTP/1.1 200 OK\r\nX-Egretpath-Instance-Id: " + id_ + "\r\nX-Egretpath-Instance-Load: " + load
        + "\r\nContent-Length: 0\r\n\r\n";
}

asio::awaitable<bool> writeText(tcp::socket &socket, std::string text)
{
    error_code error;
    co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    co_return !error;
}

}

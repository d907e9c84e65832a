#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"

namespace Egretpath
{

/// A request as a raw upstream has read it: its head, and how many bytes of its body came with it.
struct RawRequest
{
    std::string head;
    std::size_t bodyBytes = 0;
};

/// An upstream that answers health checks as it should and leaves each other request to the test, which writes any
/// bytes. Thread safety: none.
class RawUpstream
{
public:
    /// Gets the connection after the head of a request was read. The connection closes when it returns.
    using Answerer = std::function<boost::asio::awaitable<void>(boost::asio::ip::tcp::socket &, RawRequest)>;

    /// @p id: the registered id of the upstream, which its health answers name. @p slots: the requests that it runs at
    /// the same time, as its health answers say.
    RawUpstream(boost::asio::io_context &context, const Endpoint &address, std::string id, std::uint32_t slots,
                Answerer answerer);

private:
    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    [[nodiscard]] std::string healthAnswer() const;

    boost::asio::ip::tcp::acceptor acceptor_;
    std::string id_;
    std::uint32_t slots_;
    std::uint32_t running_ = 0;
    Answerer answerer_;
};

/// Writes all of @p text. Returns false if the connection has ended.
[[nodiscard]] boost::asio::awaitable<bool> writeText(boost::asio::ip::tcp::socket &socket, std::string text);

}

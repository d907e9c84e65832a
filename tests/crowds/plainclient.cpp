#include "crowds/plainclient.h"

#include <array>
#include <cerrno>
#include <cstdlib>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/currenttime.h"
#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace
{

constexpr std::string_view HeadEnd = "\r\n\r\n";

/// One blocking exchange with a limit of time.
class PlainExchange
{
public:
    PlainExchange(const Endpoint &target, Milliseconds patience)
        : end_(currentTime() + patience)
        , socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        const auto endpoint = *toTcpEndpoint(target);
        (void)::connect(socket_, endpoint.data(), static_cast<socklen_t>(endpoint.size()));
    }
    ~PlainExchange() { ::close(socket_); }
    PlainExchange(const PlainExchange &) = delete;
    PlainExchange &operator=(const PlainExchange &) = delete;

    PlainAnswer run(const std::string &request)
    {
        std::size_t sent = 0;
        while (!isComplete() && !hasEnded_ && currentTime() < end_) {
            const bool wantsToSend = sent < request.size() && !isWriteClosed_;
            pollfd waiting{socket_, static_cast<short>(POLLIN | (wantsToSend ? POLLOUT : 0)), 0};
            constexpr int MaxWaitMs = 100;
            (void)::poll(&waiting, 1, MaxWaitMs);
            if (wantsToSend && (waiting.revents & POLLOUT) != 0) {
                const ssize_t count = ::send(socket_, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
                isWriteClosed_ = count < 0 && errno != EAGAIN;
                sent += count > 0 ? static_cast<std::size_t>(count) : 0;
            }
            if ((waiting.revents & (POLLIN | POLLHUP | POLLERR)) != 0) {
                read();
            }
        }
        return answer();
    }

private:
    void read()
    {
        std::array<char, 65536> piece{};
        const ssize_t count = ::recv(socket_, piece.data(), piece.size(), 0);
        hasEnded_ = count == 0 || (count < 0 && errno != EAGAIN);
        text_.append(piece.data(), count > 0 ? static_cast<std::size_t>(count) : 0);
    }

    [[nodiscard]] bool isComplete() const { return answer().status != 0; }

    [[nodiscard]] PlainAnswer answer() const
    {
        constexpr std::size_t StatusPosition = 9;
        PlainAnswer result;
        const std::size_t headEnd = text_.find(HeadEnd);
        if (headEnd == std::string::npos || headEnd < StatusPosition) {
            return result;
        }
        result.head = text_.substr(0, headEnd + 2);
        const std::string rest = text_.substr(headEnd + HeadEnd.size());
        const auto length = fieldOf(result.head, "Content-Length");
        bool isWhole = false;
        if (length) {
            const std::size_t size = std::strtoull(length->c_str(), nullptr, 10);
            isWhole = rest.size() >= size;
            result.body = rest.substr(0, size);
        } else if (fieldOf(result.head, "Transfer-Encoding")) {
            isWhole = rest.ends_with("\r\n0\r\n\r\n") || rest == "0\r\n\r\n";
            result.body = rest;
        } else {
            isWhole = hasEnded_;
            result.body = rest;
        }
        result.status = isWhole ? static_cast<std::uint16_t>(std::atoi(text_.c_str() + StatusPosition)) : 0;
        return result;
    }

    TimePoint end_;
    int socket_;
    std::string text_;
    bool hasEnded_ = false;
    bool isWriteClosed_ = false;
};

}

PlainAnswer sendPlain(const Endpoint &target, const std::string &request, Milliseconds patience)
{
    return PlainExchange(target, patience).run(request);
}

std::optional<std::string> fieldOf(const std::string &head, const std::string &name)
{
    const std::string start = "\r\n" + name + ": ";
    const std::size_t begin = head.find(start);
    if (begin == std::string::npos) {
        return std::nullopt;
    }
    const std::size_t valueBegin = begin + start.size();
    return head.substr(valueBegin, head.find("\r\n", valueBegin) - valueBegin);
}

}

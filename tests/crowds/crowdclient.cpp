#include "crowds/crowdclient.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/currenttime.h"
#include "http/tcpendpoint.h"

namespace Egretpath
{

namespace
{

bool wouldBlock()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN || errno == EINPROGRESS;
}

}

CrowdClient::CrowdClient(const Endpoint &target, const CrowdMessage &message)
    : message_(message)
    , socket_(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    const auto endpoint = *toTcpEndpoint(target);
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const int result = ::connect(socket_, endpoint.data(), static_cast<socklen_t>(endpoint.size()));
    isClosed_ = socket_ < 0 || (result != 0 && errno != EINPROGRESS);
}

CrowdClient::~CrowdClient()
{
    if (socket_ >= 0) {
        ::close(socket_);
    }
}

bool CrowdClient::advance()
{
    if (isClosed_) {
        return false;
    }
    const bool hasSent = send();
    const bool hasRead = message_.reads && receive();
    return hasSent || hasRead;
}

/// Takes the next bytes of the message. Returns whether there are any.
bool CrowdClient::fill()
{
    if (sent_ < pending_.size()) {
        return true;
    }
    sent_ = 0;
    if (!hasStarted_) {
        hasStarted_ = true;
        pending_ = message_.start;
        nextUnitAt_ = currentTime() + message_.pause;
    } else if (unitsTaken_ < message_.units || message_.isEndless) {
        takeUnit();
    } else if (!hasEnded_) {
        hasEnded_ = true;
        pending_ = message_.end;
    } else {
        pending_.clear();
    }
    return !pending_.empty();
}

void CrowdClient::takeUnit()
{
    const bool isDue = message_.pause == Milliseconds{0} || currentTime() >= nextUnitAt_;
    pending_ = isDue ? message_.unit : std::string();
    if (isDue) {
        ++unitsTaken_;
        nextUnitAt_ = currentTime() + message_.pause;
    }
}

bool CrowdClient::send()
{
    bool hasSent = false;
    // A bound on the turn of one client, so that all of the crowd send at the same time.
    constexpr unsigned MaxWrites = 8;
    for (unsigned writes = 0; writes < MaxWrites && fill(); ++writes) {
        const std::size_t size = std::min(message_.pieceBytes, pending_.size() - sent_);
        const ssize_t count = ::send(socket_, pending_.data() + sent_, size, MSG_NOSIGNAL);
        if (count < 0) {
            isClosed_ = !wouldBlock();
            return hasSent;
        }
        sent_ += static_cast<std::size_t>(count);
        hasSent = true;
    }
    return hasSent;
}

bool CrowdClient::receive()
{
    std::array<char, 65536> buffer{};
    const ssize_t count = ::recv(socket_, buffer.data(), buffer.size(), 0);
    // A client that goes on sending doesn't mind the end of the other side.
    isClosed_ = isClosed_ || (count == 0 && !message_.isEndless) || (count < 0 && !wouldBlock());
    return count > 0;
}

}

#include "httptext.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>
#include <cstdlib>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace Review
{

namespace
{

sockaddr_in addressOf(const std::string &ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

std::string lowered(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return std::tolower(letter); });
    return text;
}

std::string trimmed(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" \t");
    return first == std::string::npos ? std::string() : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

Message parseHead(const std::string &head)
{
    Message message;
    std::size_t begin = 0;
    while (begin < head.size()) {
        const std::size_t end = std::min(head.find("\r\n", begin), head.size());
        const std::string line = head.substr(begin, end - begin);
        const std::size_t colon = line.find(':');
        if (begin == 0) {
            message.startLine = line;
        } else if (colon != std::string::npos) {
            message.fields[lowered(line.substr(0, colon))] = trimmed(line.substr(colon + 1));
        }
        begin = end + 2;
    }
    return message;
}

}

std::string Message::field(const std::string &name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second;
}

std::string Message::secondWord() const
{
    const std::size_t begin = startLine.find(' ');
    if (begin == std::string::npos) {
        return {};
    }
    const std::size_t end = startLine.find(' ', begin + 1);
    return startLine.substr(begin + 1, end == std::string::npos ? std::string::npos : end - begin - 1);
}

Socket::~Socket()
{
    if (descriptor_ >= 0) {
        ::close(descriptor_);
    }
}

Socket::Socket(Socket &&other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , buffer_(std::move(other.buffer_))
{
}

Socket &Socket::operator=(Socket &&other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(buffer_, other.buffer_);
    return *this;
}

Socket Socket::connectTo(const std::string &ip, int port)
{
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(ip, port);
    const int on = 1;
    setsockopt(socket.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    if (::connect(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0) {
        return Socket();
    }
    return socket;
}

Socket Socket::listenAt(const std::string &ip, int port)
{
    constexpr int Backlog = 256;
    Socket socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in address = addressOf(ip, port);
    const int on = 1;
    setsockopt(socket.descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const bool isBound = ::bind(socket.descriptor_, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0;
    if (!isBound || ::listen(socket.descriptor_, Backlog) != 0) {
        return Socket();
    }
    return socket;
}

Socket Socket::accept() const
{
    Socket accepted(::accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC));
    const int on = 1;
    setsockopt(accepted.descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return accepted;
}

bool Socket::send(const std::string &bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t count = ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

bool Socket::readMore()
{
    std::array<char, 65536> piece{};
    const ssize_t count = ::recv(descriptor_, piece.data(), piece.size(), 0);
    if (count <= 0) {
        return false;
    }
    buffer_.append(piece.data(), static_cast<std::size_t>(count));
    return true;
}

std::optional<Message> Socket::read()
{
    constexpr std::size_t EndLength = 4;
    std::size_t headEnd = buffer_.find("\r\n\r\n");
    while (headEnd == std::string::npos) {
        if (!readMore()) {
            return std::nullopt;
        }
        headEnd = buffer_.find("\r\n\r\n");
    }
    Message message = parseHead(buffer_.substr(0, headEnd));
    buffer_.erase(0, headEnd + EndLength);
    constexpr int Decimal = 10;
    const std::size_t length = std::strtoull(message.field("content-length").c_str(), nullptr, Decimal);
    while (buffer_.size() < length) {
        if (!readMore()) {
            return std::nullopt;
        }
    }
    message.body = buffer_.substr(0, length);
    buffer_.erase(0, length);
    return message;
}

void Socket::drain() const
{
    std::array<char, 4096> piece{};
    while (::recv(descriptor_, piece.data(), piece.size(), 0) > 0) {
    }
}

void Socket::setTimeout(int milliseconds) const
{
    constexpr int Thousand = 1000;
    timeval limit{};
    limit.tv_sec = milliseconds / Thousand;
    limit.tv_usec = static_cast<suseconds_t>(milliseconds % Thousand) * Thousand;
    setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
}

std::string base64(const std::string &bytes)
{
    constexpr const char *Digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::size_t Group = 3;
    std::string text;
    for (std::size_t begin = 0; begin < bytes.size(); begin += Group) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < Group; ++index) {
            const bool isInside = begin + index < bytes.size();
            group = (group << 8U) | (isInside ? static_cast<unsigned char>(bytes[begin + index]) : 0U);
        }
        const std::size_t left = std::min(Group, bytes.size() - begin);
        for (std::size_t digit = 0; digit <= Group; ++digit) {
            text += digit <= left ? Digits[(group >> (18U - 6U * digit)) & 0x3FU] : '=';
        }
    }
    return text;
}

}

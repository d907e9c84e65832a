#include "http/tcpendpoint.h"

#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/asio/ip/address.hpp>

namespace Egretpath
{

namespace
{

std::optional<std::uint16_t> parsePort(std::string_view text)
{
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, port);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return port;
}

std::string_view withoutBrackets(std::string_view host)
{
    const bool hasBrackets = host.size() > 2 && host.front() == '[' && host.back() == ']';
    return hasBrackets ? host.substr(1, host.size() - 2) : host;
}

}

std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint)
{
    const std::string_view text = endpoint.value();
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const auto port = parsePort(text.substr(colon + 1));
    boost::system::error_code error;
    const auto address = boost::asio::ip::make_address(std::string(withoutBrackets(text.substr(0, colon))), error);
    if (!port || error) {
        return std::nullopt;
    }
    return boost::asio::ip::tcp::endpoint(address, *port);
}

bool isReachable(const Endpoint &endpoint)
{
    const auto parsed = toTcpEndpoint(endpoint);
    return parsed && parsed->port() != 0;
}

Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint &endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string hostText = endpoint.address().is_v6() ? "[" + host + "]" : host;
    return Endpoint(hostText + ":" + std::to_string(endpoint.port()));
}

}

#include "settings/endpointtext.h"

#include <charconv>
#include <string>

#include <boost/asio/ip/address.hpp>

namespace Egretpath
{

std::optional<std::uint16_t> portOfEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string address(text.substr(0, colon));
    const bool inBrackets = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (inBrackets) {
        address = address.substr(1, address.size() - 2);
    }
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    if (error || parsed.is_v6() != inBrackets) {
        return std::nullopt;
    }
    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data() + colon + 1, end, port);
    const bool isPort = result.ec == std::errc{} && result.ptr == end;
    return isPort ? std::optional(port) : std::nullopt;
}

}

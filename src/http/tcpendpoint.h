#pragma once

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"

namespace Egretpath
{

/// Parses "127.0.0.1:8080" or "[::1]:8080". Returns std::nullopt for everything else, including host names.
/// Thread safety: safe.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint);

/// Whether a connection to @p endpoint can be tried: an IP address, and a port other than 0. Thread safety: safe.
[[nodiscard]] bool isReachable(const Endpoint &endpoint);

/// Returns the text form that toTcpEndpoint() parses. Thread safety: safe.
[[nodiscard]] Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

}

#pragma once

#include <optional>

#include <boost/asio/ip/tcp.hpp>

#include "core/strongtype.h"

namespace Egretpath
{

/// Reads "127.0.0.1:8080" or "[::1]:8080"; nothing for all else, names of hosts included. Thread safety: safe.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> toTcpEndpoint(const Endpoint &endpoint);

/// The text form that toTcpEndpoint() reads. Thread safety: safe.
[[nodiscard]] Endpoint toEndpoint(const boost::asio::ip::tcp::endpoint &endpoint);

}

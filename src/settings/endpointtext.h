#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace Egretpath
{

/// Returns the port of an "ip:port" or "[ipv6]:port" text; nullopt for any other text.
/// Thread safety: safe. Errors: none.
[[nodiscard]] std::optional<std::uint16_t> portOfEndpoint(std::string_view text);

}

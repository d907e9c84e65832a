#pragma once

#include <cstdint>
#include <string_view>

#include "core/identity.h"

namespace Egretpath
{

/// The kind of link that a message crosses. Later values are slower and more expensive.
enum class LinkKind : std::uint8_t {
    InZone,
    BetweenZones,
    /// Paid for by volume.
    BetweenRegions,
};

inline constexpr std::size_t LinkKindCount = 3;

/// The kind of link between two locations. Thread safety: safe. Errors: none.
[[nodiscard]] LinkKind linkBetween(const Location &one, const Location &other);

/// The stable name of @p link in logs and metrics. Thread safety: safe.
[[nodiscard]] std::string_view toString(LinkKind link);

}

#include "routing/link.h"

#include <array>

namespace Egretpath
{

namespace
{

constexpr std::array<std::string_view, LinkKindCount> LinkNames{"in-zone", "between-zones", "between-regions"};

}

LinkKind linkBetween(const Location &one, const Location &other)
{
    if (one.region != other.region) {
        return LinkKind::BetweenRegions;
    }
    return one.zone == other.zone ? LinkKind::InZone : LinkKind::BetweenZones;
}

std::string_view toString(LinkKind link)
{
    return LinkNames.at(static_cast<std::size_t>(link));
}

}

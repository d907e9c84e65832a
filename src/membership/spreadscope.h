#pragma once

#include <cstdint>

namespace Egretpath
{

/// How far the receiver of a message passes its content on. Each message that leaves a region or zone
/// carries a smaller scope than its sender had, so that no link sees a copy from every node.
enum class SpreadScope : std::uint8_t {
    /// To its zone.
    Zone,
    /// To its zone and one node of each other zone of its region.
    Region,
    /// To its region and over the paid links.
    Fleet,
};

}

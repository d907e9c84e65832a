#pragma once

#include <cstdint>

namespace Egretpath
{

/// What becomes of a connection whose other side takes no byte for some seconds.
enum class SilentPeer : std::uint8_t {
    /// It is reset, as one that the network has lost: the other side reads whatever comes.
    IsReset,
    /// It stays until a time limit of its own ends it: the other side may pause. The system can't tell such a pause
    /// from a loss.
    MayPause,
};

}

#pragma once

#include <cstdint>
#include <string_view>

namespace Egretpath
{

/// The state of the platform's store as a node knows it from its own calls or from the node that it follows.
enum class StoreState : std::uint8_t {
    Available,
    /// The store is available again, but entries that expired in the meantime may still be missing.
    Recovering,
    /// No node that this node knows of can read the store.
    Unavailable,
};

/// The stable word for @p state in logs and at the operators' endpoint. Thread safety: safe.
[[nodiscard]] constexpr std::string_view toString(StoreState state)
{
    switch (state) {
    case StoreState::Available:
        return "in-order";
    case StoreState::Recovering:
        return "settling";
    case StoreState::Unavailable:
        break;
    }
    return "away";
}

}

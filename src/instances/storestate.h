#pragma once

#include <cstdint>
#include <string_view>

namespace Egretpath
{

/// What a node knows of the platform's store, from its own calls or from the node that it follows.
enum class StoreState : std::uint8_t {
    Available,
    /// It is back since a moment; entries that lapsed meanwhile may still be missing.
    Recovering,
    /// It can't be read, by nobody that this node knows of.
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

#pragma once

#include <span>
#include <string_view>

#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// One mechanism of a node's decisions, and the function that switches it off.
struct Mechanism
{
    std::string_view name;
    std::string_view purpose;
    void (*switchOff)(DecisionSettings &decisions);
};

/// Returns all mechanisms that can be switched off. Thread safety: safe.
[[nodiscard]] std::span<const Mechanism> mechanisms();
/// Returns the mechanism called @p name; null if there is none. Thread safety: safe.
[[nodiscard]] const Mechanism *findMechanism(std::string_view name);

}

#pragma once

#include <span>
#include <string_view>

#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// One mechanism of a node's decisions, and how a node decides without it.
struct Mechanism
{
    std::string_view name;
    std::string_view purpose;
    void (*switchOff)(DecisionSettings &decisions);
};

/// All mechanisms that can be switched off. Thread safety: safe.
[[nodiscard]] std::span<const Mechanism> mechanisms();
/// Null for a name that is none. Thread safety: safe.
[[nodiscard]] const Mechanism *findMechanism(std::string_view name);

}

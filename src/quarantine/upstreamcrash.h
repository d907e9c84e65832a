#pragma once

#include <compare>
#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// Identifies one crash of an upstream. Drawn at random by the node beside the upstream, the only node that sees
/// the crash.
using UpstreamCrashId = StrongType<struct UpstreamCrashIdTag, std::uint64_t>;

/// One crash of an upstream, as evidence against the requests that it held.
struct UpstreamCrash
{
    UpstreamCrashId id;
    /// The upstream has exited repeatedly with no refused request under way, so that another exit is weak evidence.
    bool upstreamFlaps = false;

    friend auto operator<=>(const UpstreamCrash &, const UpstreamCrash &) = default;
};

}

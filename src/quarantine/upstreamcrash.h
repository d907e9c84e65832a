#pragma once

#include <compare>
#include <cstdint>

#include "core/strongtype.h"

namespace Egretpath
{

/// Names one crash of an upstream; drawn at random by the node beside it, which alone sees it.
using UpstreamCrashId = StrongType<struct UpstreamCrashIdTag, std::uint64_t>;

/// One crash of an upstream, as evidence against the requests that it held.
struct UpstreamCrash
{
    UpstreamCrashId id;
    /// The upstream has ended again and again with no request to blame, so that one more end tells little.
    bool upstreamFlaps = false;

    friend auto operator<=>(const UpstreamCrash &, const UpstreamCrash &) = default;
};

}

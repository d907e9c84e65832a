#pragma once

#include <cstdint>

#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// What the platform's list says about a VM.
enum class VmState : std::uint8_t {
    Live,
    Leaving,
};

/// One row of the platform's list: a VM, the service of its upstream, and where its node listens.
struct VmRecord
{
    UpstreamName upstream;
    ServiceName service;
    Location location;
    /// The node beside the upstream, for calls and control between nodes.
    Endpoint node;
    VmState state = VmState::Live;

    friend bool operator==(const VmRecord &, const VmRecord &) = default;
};

}

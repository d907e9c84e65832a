#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The number of a change in the platform's store; later changes have larger numbers.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

/// The state that an upstream reports about itself.
enum class InstanceState : std::uint8_t {
    Ready,
    /// The upstream finishes the requests that it has and must get no new ones.
    Draining,
};

/// One registered upstream, as the platform lists it.
struct InstanceRecord
{
    /// The id under which the upstream registered. A replacement at the same address has another id.
    UpstreamName id;
    ServiceName service;
    Location location;
    /// Where the upstream itself listens. Only the node beside it can connect there.
    Endpoint address;
    /// Where the node beside the upstream listens for other nodes.
    Endpoint node;
    /// Number of requests that the upstream works on at the same time.
    std::uint32_t slots = 1;
    InstanceState state = InstanceState::Ready;
    /// How much longer the upstream is slow after its start, counted from the time at which the record was read.
    Milliseconds warmUp{0};
    /// The change that wrote this record.
    StoreRevision revision;
};

}

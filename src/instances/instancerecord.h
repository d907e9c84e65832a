#pragma once

#include <cstdint>

#include "core/clock.h"
#include "core/identity.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The number of a change in the platform's store; larger is later.
using StoreRevision = StrongType<struct StoreRevisionTag, std::uint64_t>;

/// What an upstream says of itself.
enum class InstanceState : std::uint8_t {
    Ready,
    /// It leaves: it finishes what it has and is to get nothing new.
    Draining,
};

/// One registered upstream, as the platform lists it.
struct InstanceRecord
{
    /// The id under which it registered; a replacement at the same address has another one.
    UpstreamName id;
    ServiceName service;
    Location location;
    /// Where the upstream itself listens; only the node beside it gets through.
    Endpoint address;
    /// Where the node beside it listens for other nodes.
    Endpoint node;
    /// Requests that it works on at the same time.
    std::uint32_t slots = 1;
    InstanceState state = InstanceState::Ready;
    /// How much longer it is slow after its start, counted from when the record was read.
    Milliseconds warmUp{0};
    /// The change that wrote this record.
    StoreRevision revision;
};

}

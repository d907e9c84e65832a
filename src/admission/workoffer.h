#pragma once

#include <cstdint>

#include "admission/offeroutcome.h"
#include "core/clock.h"
#include "core/identity.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// A request for a slot of the upstream.
struct WorkOffer
{
    CallId call;
    RouteName route;
    /// 0 is the most urgent.
    std::uint8_t priority = 0;
    TimePoint deadline;
    /// An answer after this time is worth little.
    TimePoint target;
    /// The request is declined if its expected time here exceeds this threshold. Zero: it is accepted if its deadline
    /// can be met.
    Duration declineThreshold{0};
    /// The upstream that disconnected while it ran the request earlier; empty if none did.
    UpstreamName disconnectedUpstream;
};

}

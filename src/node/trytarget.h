#pragma once

#include "core/strongtype.h"
#include "routing/link.h"

namespace Egretpath
{

/// Where one try of a call goes.
struct TryTarget
{
    UpstreamName upstream;
    Endpoint node;
    /// Set for calls with a key: only this run of the node may take the call.
    Incarnation incarnation;
    LinkKind link = LinkKind::InZone;
    double expectedMicroseconds = 0.0;
};

}

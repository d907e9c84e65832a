#pragma once

#include "core/clock.h"
#include "core/strongtype.h"
#include "membership/spreadscope.h"
#include "membership/vmrecord.h"

namespace Egretpath
{

/// News about one incarnation of an upstream, passed from node to node.
///
/// A node announces itself as Live when it starts and as Leaving when it begins to drain. Leaving is
/// final for an incarnation.
struct MembershipNotice
{
    UpstreamName upstream;
    Incarnation incarnation;
    VmState state = VmState::Leaving;
    /// Time since the news was made, summed over the nodes that held it. The time on the wire is not in it.
    Milliseconds age{0};
    /// How far the receiver passes it on.
    SpreadScope scope = SpreadScope::Zone;

    friend bool operator==(const MembershipNotice &, const MembershipNotice &) = default;
};

}

#pragma once

#include <cstdint>
#include <memory>
#include <unordered_map>

#include "core/clock.h"
#include "core/identity.h"
#include "core/random.h"
#include "membership/membershipview.h"
#include "membership/peerdirectory.h"
#include "routing/loadview.h"
#include "settings/nodesettings.h"
#include "table/table.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// Why the upstream beside this node takes no new work, if it does not.
struct LeavingState
{
    /// The node was told to stop.
    bool stopRequested = false;
    /// The upstream says of itself that it drains.
    bool upstreamDrains = false;
    /// The table in force has no row for the upstream, or one of weight zero.
    bool withoutWeight = false;

    [[nodiscard]] bool any() const { return stopRequested || upstreamDrains || withoutWeight; }
};

/// What the controllers of one node share: each fact has one writer, named beside it, and many readers.
///
/// Thread safety: none; all controllers of a node run on one thread.
struct Blackboard
{
    Blackboard(NodeSettings nodeSettings, Incarnation incarnation, std::uint64_t seed);

    NodeSettings settings;
    NodeIdentity self;
    Location location;
    Random random;
    EventLog log;
    Metrics metrics;

    /// The table in force; null until the start gate has opened. Written by TableController.
    TablePointer table;
    /// Written by MembershipController and VmListController, and by IngressController with what calls showed.
    MembershipView membership;
    /// Written by VmListController; null until a list was read.
    std::shared_ptr<const PeerDirectory> directory;
    /// Written by IngressController and ProbeController.
    LoadView load;
    /// When a call of each service last passed this ingress. Written by IngressController.
    std::unordered_map<ServiceName, TimePoint> serviceUse;
    /// Each flag is written by the controller of its subject.
    LeavingState leaving;
};

}

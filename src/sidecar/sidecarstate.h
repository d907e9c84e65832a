#pragma once

#include "core/identity.h"
#include "core/random.h"
#include "instances/instancedirectory.h"
#include "quarantine/quarantine.h"
#include "routes/packedroutes.h"
#include "routes/routetable.h"
#include "settings/sidecarsettings.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// What the controllers of one node share: each fact has one writer, named beside it, and many readers.
///
/// Thread safety: none; all controllers of a node run on one thread.
struct SidecarState
{
    SidecarState(SidecarSettings nodeSettings, Incarnation incarnation, std::uint64_t seed);

    /// Written by Sidecar on a reload.
    SidecarSettings settings;
    NodeIdentity self;
    Location location;
    Random random;
    EventLog log;
    Metrics metrics;

    /// The routes in force; null until some were read. Written by CatalogController.
    RouteTablePointer routes;
    /// As the platform published them, for other nodes. Written by CatalogController.
    PackedRoutes packedRoutes;
    /// Written by CatalogController.
    InstanceDirectory directory;
    /// Written by QuarantineController.
    Quarantine quarantine;
    /// The node was told to stop. Written by Sidecar.
    bool stopping = false;

    /// Under which address other nodes find this one.
    [[nodiscard]] Endpoint ownNode() const;
    /// Whether callers may be sent here.
    [[nodiscard]] bool isReady() const { return routes && directory.hasList() && !stopping; }
};

}

#pragma once

#include "core/identity.h"
#include "core/random.h"
#include "instances/evacuatedzones.h"
#include "instances/instancedirectory.h"
#include "quarantine/quarantine.h"
#include "routes/routetable.h"
#include "settings/sidecarsettings.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// State that the controllers of one node share. Each member has one writer, named in its comment, and many readers.
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

    /// The active routes; null until the first ones were read. Written by CatalogController.
    RouteTablePointer routes;
    /// Written by CatalogController.
    InstanceDirectory directory;
    /// Written by CatalogController.
    EvacuatedZones evacuatedZones;
    /// Written by QuarantineController.
    Quarantine quarantine;
    /// Whether the node was told to stop. Written by Sidecar.
    bool isStopping = false;

    /// Takes over those of @p reloaded that change while the node runs; the others wait for the next start.
    void takeReloaded(const SidecarSettings &reloaded);
    /// The address at which other nodes reach this one.
    [[nodiscard]] Endpoint ownAddress() const;
    /// Whether callers may be sent to this node.
    [[nodiscard]] bool isReady() const
    {
        return routes && directory.hasList() && evacuatedZones.isKnown() && !isStopping;
    }
};

}

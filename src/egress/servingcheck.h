#pragma once

#include <optional>

#include "core/identity.h"
#include "core/verdict.h"
#include "instances/evacuatedzones.h"
#include "routes/routetable.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// Judges by this node's own routes and evacuated zones whether a call may be served by the upstream beside it. The
/// ingress judged before, perhaps by older ones.
///
/// Thread safety: none. Precondition: the references outlive the object. Errors: every refusal is NotRun.
class ServingCheck
{
public:
    /// @p routes: null until the node has any.
    ServingCheck(Location location, const RouteTablePointer &routes, const EvacuatedZones &evacuatedZones);

    /// The refusal of any request while this zone is evacuated; nothing if it is not.
    [[nodiscard]] std::optional<Failure> evacuationRejection() const;
    /// The refusal of a call that may not be served here: this zone is evacuated, the route names other regions, or
    /// newer routes than those of the ingress have no such route or send it to other services. Nothing if it may be.
    /// Routes older than those of the ingress don't count.
    [[nodiscard]] std::optional<Failure> rejection(const CallHead &head) const;
    /// Whether the route of a call is one of downloads.
    [[nodiscard]] bool isDownload(const CallHead &head) const;

private:
    [[nodiscard]] const Route *routeOf(const CallHead &head) const;

    Location location_;
    const RouteTablePointer &routes_;
    const EvacuatedZones &evacuatedZones_;
};

}

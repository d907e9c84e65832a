#pragma once

#include "core/strongtype.h"
#include "egress/egressrole.h"
#include "http/httpserver.h"
#include "routes/routetable.h"
#include "settings/sidecarsettings.h"
#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// The limits of the servers and roles of a node, by its settings and the published limits. Thread safety: safe.
[[nodiscard]] HttpLimits callerLimits(const CallerLimits &limits);
/// The limits of callers while the published ones are not known.
[[nodiscard]] HttpLimits callerLimitsBeforeConfig();
[[nodiscard]] HttpLimits probeLimits();
[[nodiscard]] EgressSettings egressSettings(const SidecarSettings &settings, const DecisionSettings &decisions);
/// The limit of the streamed answers that the node holds for readers.
[[nodiscard]] Bytes answerLimit(const SidecarSettings &settings);
/// The limit of the bodies of requests, and of the answers in one message, that the node holds.
[[nodiscard]] Bytes messageLimit(const SidecarSettings &settings);

}

#pragma once

#include "deployment.h"

namespace Review
{

constexpr int RuleHeld = 0;
constexpr int RuleBroken = 1;
constexpr int CannotRun = 2;

/// The store loses the answer to the watch of the node that reads it.
[[nodiscard]] int lostWatchAnswer(Deployment &deployment, bool hasTrouble);
/// Two machines of a zone are stopped and started in turn, and meanwhile the config moves a route.
[[nodiscard]] int plannedStop(Deployment &deployment, bool hasTrouble);
/// Consumers send uploads within the limits of the config.
[[nodiscard]] int largeUploads(Deployment &deployment, bool hasTrouble);

}

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "soak/disturbances.h"

namespace Egretpath
{

/// What the soak does to the deployment, from outside.
enum class FaultKind : std::uint8_t {
    NodeKill,
    NodePause,
    NodeStop,
    NodeReload,
    NodesKilledTogether,
    LinkDelay,
    LinkReset,
    LinkOneWay,
    LinkCut,
    LinkSilence,
    StoreLinkCut,
    StoreLinkReset,
    StoreLinkSilence,
    StoreDown,
    StoreBusy,
    StoreSlow,
    StoreAnswersLost,
    StoreCompact,
    UpstreamSlow,
    UpstreamFailing,
    UpstreamAnswersLost,
    UpstreamCutsAnswers,
    UpstreamUnsigned,
    UpstreamRefusing,
    UpstreamReplaced,
    UpstreamCrash,
    CallerBurst,
    CallersLeave,
    RoutesChange,
    RoutesStorm,
    RoutesGrow,
    // New kinds stand at the end, so that seeds that failed before them keep their plans.
    UpstreamHangs,
    UpstreamCrashedByRequest,
};

inline constexpr std::size_t FaultKindCount = 33;

[[nodiscard]] std::string_view toString(FaultKind kind);
/// Nothing for a name that is none. Thread safety: safe.
[[nodiscard]] std::optional<FaultKind> faultKindFromString(std::string_view name);

/// One fault at its time.
struct PlannedFault
{
    /// From the start of the load.
    Milliseconds at{0};
    FaultKind kind = FaultKind::NodeKill;
    /// The node that it hits, or whose upstream or links.
    NodeNumber node = 0;
    Milliseconds length{0};
};

struct FaultPlanOptions
{
    Milliseconds length{20'000};
    /// The end of the run is left without faults, to see whether all comes back.
    Milliseconds quietEnd{6000};
    std::size_t nodes = 9;
    /// Mean time from one fault to the next. Faults last longer than that, so that they overlap.
    Milliseconds gap{700};
    /// Kinds to draw from; if empty, the first `knownKinds` of all.
    std::vector<FaultKind> kinds;
    /// A seed draws the same plan for as long as this is the same.
    std::size_t knownKinds = FaultKindCount;
};

/// Draws faults. The same generator gives the same plan. Faults come in series: some strike again at once, at the same
/// node or at another. Thread safety: safe.
[[nodiscard]] std::vector<PlannedFault> drawFaults(const FaultPlanOptions &options, Random random);

}

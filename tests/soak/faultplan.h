#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/random.h"
#include "soak/faulthistory.h"

namespace Egretpath
{

/// The kinds of faults that the soak injects into the deployment from outside.
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
    // New kinds are added at the end, so that the seeds of earlier failures keep their plans.
    UpstreamHangs,
    UpstreamCrashedByRequest,
    ZoneEvacuated,
    UpstreamCold,
    UpstreamLimits,
    UpstreamLeavesByAnswer,
    StoreWatchesHang,
    StoreWatchAnswersLost,
};

inline constexpr std::size_t FaultKindCount = 39;

[[nodiscard]] std::string_view toString(FaultKind kind);
/// Returns nothing for an unknown name. Thread safety: safe.
[[nodiscard]] std::optional<FaultKind> faultKindFromString(std::string_view name);

/// One fault of a plan, with its time.
struct PlannedFault
{
    /// Time from the start of the load.
    Milliseconds at{0};
    FaultKind kind = FaultKind::NodeKill;
    /// The node that is hit itself, or whose upstream or links are hit.
    NodeNumber node = 0;
    Milliseconds length{0};
};

struct FaultPlanOptions
{
    Milliseconds length{20'000};
    /// Time at the end of the run in which no fault starts, so that the deployment can recover.
    Milliseconds faultFreeEnd{6000};
    std::size_t nodes = 9;
    /// The time from one fault to the next is drawn between half of this gap and twice this gap. Most faults last
    /// longer, so that they overlap.
    Milliseconds gap{700};
    /// Kinds to draw from. If empty, the first `knownKinds` kinds are drawn from.
    std::vector<FaultKind> kinds;
    /// Number of kinds to draw from if `kinds` is empty. A seed draws the same plan only while this number is the same.
    std::size_t knownKinds = FaultKindCount;
};

/// Draws a plan of faults. The same generator state gives the same plan. Some faults are followed by a second fault of
/// the same kind, at the same node or at another, soon after their end. Thread safety: safe.
[[nodiscard]] std::vector<PlannedFault> drawFaults(const FaultPlanOptions &options, Random random);

}

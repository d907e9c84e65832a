#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <vector>

#include "core/clock.h"

namespace Egretpath
{

/// Number of a node, counted from 0. A fault of a node may hit its process, its links or its upstream. AllNodes stands
/// for all nodes and for what they share.
using NodeNumber = std::size_t;
inline constexpr NodeNumber AllNodes = std::numeric_limits<NodeNumber>::max();

/// Category of a fault. A promise of the system is suspended by faults of some categories only.
enum class FaultCategory : std::uint8_t {
    /// A fault of the node's process, its links or its VM.
    Unplanned,
    /// A requested stop or reload of the node, or a change of the routes.
    Planned,
    /// A fault of the platform's store or of the node's connection to it.
    Store,
    /// A fault of the upstream beside the node, or an unusual load from callers.
    Upstream,
};

/// Records which nodes were hit by faults, and when, so that a promise is checked only where no fault suspends it.
/// Thread safety: none.
class FaultHistory
{
public:
    /// @p settleTime: a fault still counts for this time after its end.
    explicit FaultHistory(Duration settleTime)
        : settleTime_(settleTime)
    {
    }

    void begin(NodeNumber node, FaultCategory category, TimePoint now);
    void end(NodeNumber node, FaultCategory category, TimePoint now);
    /// Whether no fault of @p category hit @p node, or all nodes, at any time from the settle time before @p from until
    /// @p to.
    [[nodiscard]] bool isFaultFree(NodeNumber node, FaultCategory category, TimePoint from, TimePoint to) const;

private:
    struct Window
    {
        TimePoint from;
        TimePoint to;
    };

    struct Target
    {
        NodeNumber node = 0;
        FaultCategory category = FaultCategory::Unplanned;

        friend auto operator<=>(const Target &, const Target &) = default;
    };

    struct History
    {
        /// Faults that have started and not ended. Faults of one category may overlap.
        int activeFaults = 0;
        std::vector<Window> windows;
    };

    [[nodiscard]] bool isFaultFree(const Target &target, TimePoint from, TimePoint to) const;

    Duration settleTime_;
    std::map<Target, History> histories_;
};

}

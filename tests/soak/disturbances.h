#pragma once

#include <cstddef>
#include <limits>
#include <map>
#include <vector>

#include "core/clock.h"

namespace Egretpath
{

/// Something that faults may hit: a node with its links, or all nodes with what they share.
using NodeNumber = std::size_t;
inline constexpr NodeNumber AllNodes = std::numeric_limits<NodeNumber>::max();

/// What hit a part of the deployment.
enum class Disturbance : std::uint8_t {
    /// Its process, its links or its VM.
    Unplanned,
    /// A stop or reload that it was asked for.
    Planned,
    /// The platform's store, or its way to it.
    Store,
    /// The upstream beside it.
    Upstream,
};

/// Which parts of the deployment were hit when, so that a promise is held only where it was made. Thread safety: none.
class Disturbances
{
public:
    /// @p settle: a part counts as hit for so long after the end of a fault.
    explicit Disturbances(Duration settle)
        : settle_(settle)
    {
    }

    void begin(NodeNumber node, Disturbance kind, TimePoint now);
    void end(NodeNumber node, Disturbance kind, TimePoint now);
    /// Whether nothing of @p kind hit @p node or all nodes from the settle time before @p from until @p to.
    [[nodiscard]] bool isCalm(NodeNumber node, Disturbance kind, TimePoint from, TimePoint to) const;

private:
    struct Window
    {
        TimePoint from;
        TimePoint to;
    };

    struct Part
    {
        NodeNumber node = 0;
        Disturbance kind = Disturbance::Unplanned;

        friend auto operator<=>(const Part &, const Part &) = default;
    };

    struct History
    {
        /// Faults that have begun and not ended; faults of one kind overlap.
        int open = 0;
        std::vector<Window> windows;
    };

    [[nodiscard]] bool isCalm(const Part &part, TimePoint from, TimePoint to) const;

    Duration settle_;
    std::map<Part, History> parts_;
};

}

#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "routes/routetable.h"

namespace Egretpath
{

/// What a node says of itself at its operators' endpoint; the client shows these fields.
struct NodeStatus
{
    Endpoint endpoint;
    std::string node;
    std::string incarnation;
    /// Callers may be sent to it.
    bool ready = false;
    /// Zero: it has none.
    RouteVersion routes;
    /// The revision of its list of upstreams.
    std::uint64_t list = 0;
    /// The node that it follows, "platform", or "lost".
    std::string source;
    /// It reads the platform's store itself.
    bool reads = false;
    /// What it knows of the store: "in-order", "settling" or "away".
    std::string store;
    /// Requests that it refuses since they end upstreams.
    std::uint64_t quarantined = 0;
};

/// A node's status, or why it could not be read.
using NodeStatusResult = Result<NodeStatus>;

/// Reads /status of all @p nodes at the same time; the results stand in their order.
/// Preconditions: none. Thread safety: safe; it runs its own event loop. Errors: in each result.
[[nodiscard]] std::vector<NodeStatusResult> readStatuses(const std::vector<Endpoint> &nodes, Duration limit);

}

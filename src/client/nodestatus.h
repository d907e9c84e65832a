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

/// The status that a node reports at its operators' endpoint, as far as the client shows it. The members have the names
/// of the fields of the page /status.
struct NodeStatus
{
    Endpoint endpoint;
    std::string node;
    std::string incarnation;
    /// Whether the node is ready for callers.
    bool ready = false;
    /// The version of the node's routes; zero if it has none.
    RouteVersion routes;
    /// The revision of the node's list of upstreams.
    std::uint64_t list = 0;
    /// Where the node gets routes and list from: the name of the node that it follows, "platform", or "lost".
    std::string source;
    /// Whether the node is a reader, which reads the platform's store itself.
    bool reads = false;
    /// The state of the store as the node knows it: "in-order", "settling" or "away".
    std::string store;
    /// For how long the node has had no source that is known to read the store; zero if it has one.
    Milliseconds searchingFor{0};
    /// The zones that the node takes to be evacuated, separated by spaces.
    std::string evacuated;
    /// Why the upstream beside the node gets only a number of requests a second: "cold" or "named"; empty if it gets
    /// any.
    std::string limited;
    /// The services that are short of capacity, as IngressRole::shortServices() writes them; empty if none is.
    std::string shortServices;
    /// Time that the large answers of the node wait for its link.
    Milliseconds linkBacklog{0};
    /// The number of requests that the node refuses because they crash upstreams.
    std::uint64_t quarantined = 0;
    /// The bytes of answers that the node holds for readers.
    std::uint64_t heldAnswerBytes = 0;
};

/// The status of a node, or the reason why it could not be read.
using NodeStatusResult = Result<NodeStatus>;

/// Reads /status from all @p nodes concurrently, each within @p timeout. The results are in the order of @p nodes.
/// Preconditions: none. Thread safety: safe; it runs its own event loop. Errors: in each result.
[[nodiscard]] std::vector<NodeStatusResult> readStatuses(const std::vector<Endpoint> &nodes, Duration timeout);

}

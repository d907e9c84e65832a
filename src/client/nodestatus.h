#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "core/verdict.h"
#include "table/tableversion.h"

namespace Egretpath
{

/// What a node says of itself at its operators' endpoint; the client shows these fields.
struct NodeStatus
{
    Endpoint endpoint;
    std::string upstream;
    std::string incarnation;
    std::string start;
    std::optional<TableVersion> table;
    std::string refusedTable;
    /// Spent on measuring upstreams since this incarnation began, over all links.
    Bytes measuringBytes;
    bool conflict = false;
    bool leaving = false;
};

/// A node's status, or why it could not be read.
using NodeStatusResult = Result<NodeStatus>;

/// Reads /status of all @p nodes at the same time; the results stand in their order.
/// Preconditions: none. Thread safety: safe; it runs its own event loop. Errors: in each result.
[[nodiscard]] std::vector<NodeStatusResult> readStatuses(const std::vector<Endpoint> &nodes, Duration limit);

/// The endpoints in a file, one in each line; empty lines and those that begin with '#' are left out.
/// Errors: nothing if the file can't be read.
[[nodiscard]] std::optional<std::vector<Endpoint>> readNodeFile(const std::string &path);

}

#pragma once

#include <optional>
#include <string>
#include <vector>

#include "client/command.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The options by which a command is told which nodes to ask: --node, any number of times, and --nodes with a file.
///
/// Thread safety: none.
class NodeSelection
{
public:
    /// Preconditions: this outlives @p command.
    void declare(CLI::App &command);
    /// The nodes named. Errors: nothing, with the reason written, if the file can't be read or no node is named.
    [[nodiscard]] std::optional<std::vector<Endpoint>> nodes(const CommandOutput &output) const;

private:
    std::vector<std::string> nodes_;
    std::string file_;
};

}

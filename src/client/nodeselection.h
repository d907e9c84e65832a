#pragma once

#include <optional>
#include <string>
#include <vector>

#include "client/command.h"
#include "core/strongtype.h"

namespace Egretpath
{

/// The options that select the nodes for a command: --node, any number of times, and --nodes with a file.
///
/// Thread safety: none.
class NodeSelection
{
public:
    /// Adds the options to @p command. Preconditions: this object outlives @p command.
    void declare(CLI::App &command);
    /// Returns the selected nodes. Errors: writes the reason to @p output and returns nullopt if the file can't be read
    /// or no node is selected.
    [[nodiscard]] std::optional<std::vector<Endpoint>> nodes(const CommandOutput &output) const;

private:
    std::vector<std::string> nodes_;
    std::string file_;
};

}

#pragma once

#include "client/command.h"
#include "client/nodeselection.h"

namespace Egretpath
{

/// `egretpath status`: prints the active routes and list of upstreams of each node. Reads only from the nodes.
/// Thread safety: none.
class StatusCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Prints a line for each node. Errors: ExitCode::NegativeResult if a node can't be reached, lags behind another,
    /// or if no node has routes; ExitCode::BadUsage if no nodes are selected.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    NodeSelection selection_;
};

}

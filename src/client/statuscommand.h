#pragma once

#include "client/command.h"
#include "client/nodeselection.h"

namespace Egretpath
{

/// `status`: which routes and list each node has in force. Reads from the nodes only. Thread safety: none.
class StatusCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Prints a line for each node. Errors: ExitCode::No if a node can't be reached or lags behind another.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    NodeSelection selection_;
};

}

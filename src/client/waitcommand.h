#pragma once

#include <cstdint>

#include "client/command.h"
#include "client/nodeselection.h"

namespace Egretpath
{

/// `egretpath wait`: waits until a version of the routes, or a newer one, is active at all nodes. Reads only from the
/// nodes. Thread safety: none.
class WaitCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Errors: ExitCode::NegativeResult if the timeout passes first; prints the nodes that lag. ExitCode::BadUsage if
    /// no nodes are selected.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    NodeSelection selection_;
    std::uint64_t version_ = 0;
    std::uint64_t timeoutMs_ = 10'000;
};

}

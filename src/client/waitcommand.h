#pragma once

#include <cstdint>

#include "client/command.h"
#include "client/nodeselection.h"

namespace Egretpath
{

/// `wait`: until routes are in force at all nodes. Reads from the nodes only. Thread safety: none.
class WaitCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Errors: ExitCode::No, with the nodes that lag, if the time is over before.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    NodeSelection selection_;
    std::uint64_t version_ = 0;
    std::uint64_t timeoutMs_ = 10'000;
};

}

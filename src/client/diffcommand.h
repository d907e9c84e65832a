#pragma once

#include <string>

#include "client/command.h"
#include "client/routefile.h"

namespace Egretpath
{

/// `egretpath diff OLD NEW`: prints the rows that a change of the routes removes and adds. Thread safety: none.
class DiffCommand final : public Command
{
public:
    explicit DiffCommand(RouteReader reader);

    CLI::App *declare(CLI::App &app) override;
    /// Errors: ExitCode::NegativeResult if the rows differ, ExitCode::BadUsage if a file can't be read or is not valid.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    RouteReader reader_;
    std::string oldPath_;
    std::string newPath_;
};

}

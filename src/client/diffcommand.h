#pragma once

#include <string>

#include "client/command.h"

namespace Egretpath
{

/// `diff`: what a new table will do when it replaces an old one. Works without a network. Thread safety: none.
class DiffCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Prints one sentence for each effect. Errors: the worse of both tables' exit codes.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    std::string oldPath_;
    std::string newPath_;
};

}

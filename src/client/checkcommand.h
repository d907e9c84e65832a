#pragma once

#include <string>
#include <vector>

#include "client/command.h"

namespace Egretpath
{

/// `check`: whether tables would be accepted. Works without a network. Thread safety: none.
class CheckCommand : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Reports every problem of every table. Errors: the worst of all tables' exit codes.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    std::vector<std::string> paths_;
};

}

#pragma once

#include <string>

#include "client/command.h"
#include "client/routefile.h"

namespace Egretpath
{

/// `egretpath diff OLD NEW`: the rows that a change of the routes takes out and puts in. Thread safety: none.
class DiffCommand final : public Command
{
public:
    explicit DiffCommand(RouteReader reader);

    CLI::App *declare(CLI::App &app) override;
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    RouteReader reader_;
    std::string old_;
    std::string new_;
};

}

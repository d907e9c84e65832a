#pragma once

#include <string>

#include "client/command.h"
#include "client/routefile.h"

namespace Egretpath
{

/// `egretpath check FILE`: whether nodes would take these routes. Thread safety: none.
class CheckCommand final : public Command
{
public:
    explicit CheckCommand(RouteReader reader);

    CLI::App *declare(CLI::App &app) override;
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    RouteReader reader_;
    std::string file_;
};

}

#pragma once

#include <string>

#include "client/command.h"
#include "client/routefile.h"

namespace Egretpath
{

/// `egretpath check FILE`: checks whether nodes would accept the routes in a file. Thread safety: none.
class CheckCommand final : public Command
{
public:
    explicit CheckCommand(RouteReader reader);

    CLI::App *declare(CLI::App &app) override;
    /// Prints the version and the number of routes. Errors: ExitCode::NegativeResult if the routes are not valid or the
    /// file can't be read.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    RouteReader reader_;
    std::string file_;
};

}

#pragma once

#include <string>

#include "client/command.h"
#include "client/routefile.h"

namespace Egretpath
{

/// `egretpath table FILE` or `egretpath table --node NODE`: prints routes as comma-separated values for a spreadsheet.
/// Thread safety: none.
class TableCommand final : public Command
{
public:
    explicit TableCommand(RouteReader reader);

    CLI::App *declare(CLI::App &app) override;
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    [[nodiscard]] ExitCode printFile(const CommandOutput &output) const;
    [[nodiscard]] ExitCode printNode(const CommandOutput &output) const;

    RouteReader reader_;
    std::string file_;
    std::string node_;
};

}

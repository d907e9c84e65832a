#pragma once

#include <string>
#include <vector>

#include "client/command.h"

namespace Egretpath
{

/// `egretpath losses LOG...`: prints for each route the outcomes of its requests, their lateness, waits and tries, as
/// comma-separated values for a spreadsheet.
///
/// Counts only what the logs contain. A node that drops decision lines counts them in egretpath_log_lines_dropped.
/// Thread safety: none.
class LossesCommand final : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Errors: ExitCode::NegativeResult if no line is about a request, ExitCode::BadUsage if a log can't be read.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    std::vector<std::string> logs_;
};

}

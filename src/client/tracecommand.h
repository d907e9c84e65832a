#pragma once

#include <string>
#include <vector>

#include "client/command.h"

namespace Egretpath
{

/// `egretpath trace ID LOG...`: prints the lines of one request from the logs of many nodes, in the order of their
/// times. Thread safety: none.
class TraceCommand final : public Command
{
public:
    CLI::App *declare(CLI::App &app) override;
    /// Errors: ExitCode::NegativeResult if no line names the request, ExitCode::BadUsage if a log can't be read.
    [[nodiscard]] ExitCode run(const CommandOutput &output) override;

private:
    std::string request_;
    std::vector<std::string> logs_;
    bool around_ = false;
};

}

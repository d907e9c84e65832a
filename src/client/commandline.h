#pragma once

#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "client/command.h"

namespace Egretpath
{

/// Parses the client's command line and runs the command that it names. Thread safety: none.
class CommandLine
{
public:
    /// Adds a command. Preconditions: no other command has the same name.
    void add(std::unique_ptr<Command> command);
    /// Parses @p arguments, which start with the name of the program, and runs the command that they name.
    /// Errors: wrong arguments are reported to @p err and give ExitCode::BadUsage.
    [[nodiscard]] ExitCode run(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err);

private:
    std::vector<std::unique_ptr<Command>> commands_;
};

}

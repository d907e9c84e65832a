#pragma once

#include <ostream>

#include "client/exitcode.h"

namespace CLI
{
class App;
}

namespace Egretpath
{

/// The streams to which a command writes.
struct CommandOutput
{
    /// For results.
    std::ostream &out;
    /// For error messages.
    std::ostream &err;
};

/// One command of the operators' client. Thread safety: none.
class Command
{
public:
    Command() = default;
    virtual ~Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;

    /// Adds the command and its arguments to @p app and returns it as a subcommand.
    /// Preconditions: called once; this object outlives @p app.
    virtual CLI::App *declare(CLI::App &app) = 0;
    /// Runs the command. Preconditions: the app of declare() has parsed the arguments.
    [[nodiscard]] virtual ExitCode run(const CommandOutput &output) = 0;
};

}

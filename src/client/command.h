#pragma once

#include <ostream>

#include "client/exitcode.h"

namespace CLI
{
class App;
}

namespace Egretpath
{

/// Where a command writes.
struct CommandOutput
{
    /// Answers.
    std::ostream &out;
    /// Problems.
    std::ostream &err;
};

/// One command of the client. Thread safety: none.
class Command
{
public:
    Command() = default;
    virtual ~Command() = default;
    Command(const Command &) = delete;
    Command &operator=(const Command &) = delete;

    /// Declares the command with its arguments and returns it.
    /// Preconditions: called once; the command outlives @p app.
    virtual CLI::App *declare(CLI::App &app) = 0;
    /// Does the work. Preconditions: the arguments were parsed into this command.
    [[nodiscard]] virtual ExitCode run(const CommandOutput &output) = 0;
};

}

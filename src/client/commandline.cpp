#include "client/commandline.h"

#include <cstddef>
#include <utility>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>

namespace Egretpath
{

namespace
{

/// Returns the arguments as CLI11 expects them: without the name of the program and in reverse order.
std::vector<std::string> reversedArguments(const std::vector<std::string> &arguments)
{
    if (arguments.empty()) {
        return {};
    }
    return {arguments.rbegin(), arguments.rend() - 1};
}

}

void CommandLine::add(std::unique_ptr<Command> command)
{
    commands_.push_back(std::move(command));
}

ExitCode CommandLine::run(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err)
{
    CLI::App app("Checks routes before they are published, and shows what nodes do with them. It changes nothing.",
                 "egretpath");
    app.require_subcommand(1);
    std::vector<const CLI::App *> declared;
    for (const auto &command : commands_) {
        declared.push_back(command->declare(app));
    }
    try {
        app.parse(reversedArguments(arguments));
    } catch (const CLI::ParseError &error) {
        return app.exit(error, out, err) == 0 ? ExitCode::Success : ExitCode::BadUsage;
    }
    for (std::size_t index = 0; index < declared.size(); ++index) {
        if (declared[index]->parsed()) {
            return commands_[index]->run(CommandOutput{out, err});
        }
    }
    return ExitCode::BadUsage;
}

}

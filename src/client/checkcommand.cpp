#include "client/checkcommand.h"

#include <utility>

#include <CLI/App.hpp>

namespace Egretpath
{

CheckCommand::CheckCommand(RouteReader reader)
    : reader_(std::move(reader))
{
}

CLI::App *CheckCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("check", "Checks routes before they are published");
    command->add_option("file", file_, "the routes, as they are published")->required();
    return command;
}

ExitCode CheckCommand::run(const CommandOutput &output)
{
    const RouteTablePointer table = readRouteFile(file_, reader_, output);
    if (!table) {
        return ExitCode::NegativeResult;
    }
    output.out << file_ << ": version " << table->version() << ", " << table->routeCount() << " routes\n";
    return ExitCode::Success;
}

}

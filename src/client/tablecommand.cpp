#include "client/tablecommand.h"

#include <utility>

#include <CLI/App.hpp>

#include "client/nodepage.h"
#include "routes/routerows.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadTimeout{2000};

}

TableCommand::TableCommand(RouteReader reader)
    : reader_(std::move(reader))
{
}

CLI::App *TableCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("table", "Shows routes as a table: comma-separated values");
    auto *file = command->add_option("file", file_, "the routes, as they are published");
    command->add_option("--node", node_, "ip:port of a node's operators endpoint: shows the active routes of the node")
        ->excludes(file);
    return command;
}

ExitCode TableCommand::run(const CommandOutput &output)
{
    if (file_.empty() && node_.empty()) {
        output.err << "name a file, or a node with --node\n";
        return ExitCode::BadUsage;
    }
    return file_.empty() ? printNode(output) : printFile(output);
}

ExitCode TableCommand::printFile(const CommandOutput &output) const
{
    const RouteTablePointer table = readRouteFile(file_, reader_, output);
    if (!table) {
        return ExitCode::NegativeResult;
    }
    output.out << toCsv(*table);
    return ExitCode::Success;
}

ExitCode TableCommand::printNode(const CommandOutput &output) const
{
    const auto pages = readPages({Endpoint(node_)}, "/table", ReadTimeout);
    if (!pages.front()) {
        output.err << node_ << ": " << pages.front().error().detail << '\n';
        return ExitCode::NegativeResult;
    }
    output.out << pages.front().value();
    return ExitCode::Success;
}

}

#include "client/statuscommand.h"

#include <algorithm>

#include <CLI/App.hpp>

#include "client/nodestatus.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadLimit{2000};

std::optional<TableVersion> newestOf(const std::vector<NodeStatusResult> &statuses)
{
    std::optional<TableVersion> newest;
    for (const NodeStatusResult &status : statuses) {
        if (status && status.value().table) {
            newest = std::max(newest, status.value().table);
        }
    }
    return newest;
}

void print(const NodeStatus &status, const std::optional<TableVersion> &newest, std::ostream &out)
{
    out << status.endpoint << " " << status.upstream << " incarnation " << status.incarnation << " table "
        << (status.table ? toString(*status.table) : "none (start gate: " + status.start + ")");
    if (status.table != newest) {
        out << " LAGS";
    }
    if (status.conflict) {
        out << " CONFLICT";
    }
    if (status.leaving) {
        out << " leaving";
    }
    if (!status.refusedTable.empty()) {
        out << " REFUSED: " << status.refusedTable;
    }
    out << "\n";
}

}

CLI::App *StatusCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("status", "Shows which table each node has in force");
    selection_.declare(*command);
    return command;
}

ExitCode StatusCommand::run(const CommandOutput &output)
{
    const auto nodes = selection_.nodes(output);
    if (!nodes) {
        return ExitCode::BadUsage;
    }
    const auto statuses = readStatuses(*nodes, ReadLimit);
    const auto newest = newestOf(statuses);
    bool allCurrent = newest.has_value();
    for (std::size_t index = 0; index < statuses.size(); ++index) {
        if (statuses[index]) {
            print(statuses[index].value(), newest, output.out);
            allCurrent = allCurrent && statuses[index].value().table == newest;
        } else {
            output.out << nodes->at(index) << " unreachable: " << statuses[index].error().detail << "\n";
            allCurrent = false;
        }
    }
    return allCurrent ? ExitCode::Fine : ExitCode::No;
}

}

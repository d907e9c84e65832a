#include "client/statuscommand.h"

#include <algorithm>

#include <CLI/App.hpp>

#include "client/nodestatus.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadLimit{2000};

RouteVersion newestOf(const std::vector<NodeStatusResult> &statuses)
{
    RouteVersion newest;
    for (const NodeStatusResult &status : statuses) {
        if (status) {
            newest = std::max(newest, status.value().routes);
        }
    }
    return newest;
}

void print(const NodeStatus &status, RouteVersion newest, std::ostream &out)
{
    out << status.endpoint << ' ' << status.node << " incarnation " << status.incarnation << " routes " << status.routes
        << " list " << status.list << " from " << status.source;
    out << (status.reads ? " reads" : "") << (status.store.empty() ? "" : " store " + status.store);
    if (status.quarantined > 0) {
        out << " quarantined " << status.quarantined;
    }
    if (status.routes != newest) {
        out << " LAGS";
    }
    out << (status.ready ? "" : " not ready") << '\n';
}

}

CLI::App *StatusCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("status", "Shows which routes and list each node has, and from where");
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
    const RouteVersion newest = newestOf(statuses);
    bool allCurrent = newest.value() > 0;
    for (std::size_t index = 0; index < statuses.size(); ++index) {
        if (statuses[index]) {
            print(statuses[index].value(), newest, output.out);
            allCurrent = allCurrent && statuses[index].value().routes == newest;
        } else {
            output.out << nodes->at(index) << " unreachable: " << statuses[index].error().detail << '\n';
            allCurrent = false;
        }
    }
    return allCurrent ? ExitCode::Fine : ExitCode::No;
}

}

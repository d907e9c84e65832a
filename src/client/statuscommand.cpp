#include "client/statuscommand.h"

#include <algorithm>

#include <CLI/App.hpp>

#include "client/nodestatus.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadTimeout{2000};

RouteVersion newestVersion(const std::vector<NodeStatusResult> &statuses)
{
    RouteVersion newestRoutes;
    for (const NodeStatusResult &status : statuses) {
        if (status) {
            newestRoutes = std::max(newestRoutes, status.value().routes);
        }
    }
    return newestRoutes;
}

void print(const NodeStatus &status, RouteVersion newestRoutes, std::ostream &out)
{
    out << status.endpoint << ' ' << status.node << " incarnation " << status.incarnation << " routes " << status.routes
        << " list " << status.list << " from " << status.source;
    out << (status.reads ? " reads" : "") << (status.store.empty() ? "" : " store " + status.store);
    if (status.searchingFor.count() > 0) {
        out << " without a source for " << status.searchingFor.count() << " ms";
    }
    out << (status.evacuated.empty() ? "" : " evacuated " + status.evacuated);
    out << (status.limited.empty() ? "" : " upstream limited: " + status.limited);
    out << (status.shortServices.empty() ? "" : " short of capacity: " + status.shortServices);
    if (status.linkBacklog.count() > 0) {
        out << " link backlog " << status.linkBacklog.count() << " ms";
    }
    if (status.quarantined > 0) {
        out << " quarantined " << status.quarantined;
    }
    if (status.heldAnswerBytes > 0) {
        out << " holds " << status.heldAnswerBytes << " bytes of answers";
    }
    if (status.routes != newestRoutes) {
        out << " LAGS";
    }
    out << (status.ready ? "" : " not ready") << '\n';
}

}

CLI::App *StatusCommand::declare(CLI::App &app)
{
    CLI::App *command =
        app.add_subcommand("status", "Shows which versions of routes and list each node has, and from where");
    selection_.declare(*command);
    return command;
}

ExitCode StatusCommand::run(const CommandOutput &output)
{
    const auto nodes = selection_.nodes(output);
    if (!nodes) {
        return ExitCode::BadUsage;
    }
    const auto statuses = readStatuses(*nodes, ReadTimeout);
    const RouteVersion newestRoutes = newestVersion(statuses);
    bool areAllCurrent = newestRoutes.value() > 0;
    for (std::size_t index = 0; index < statuses.size(); ++index) {
        if (statuses[index]) {
            print(statuses[index].value(), newestRoutes, output.out);
            areAllCurrent = areAllCurrent && statuses[index].value().routes == newestRoutes;
        } else {
            output.out << nodes->at(index) << " unreachable: " << statuses[index].error().detail << '\n';
            areAllCurrent = false;
        }
    }
    return areAllCurrent ? ExitCode::Success : ExitCode::NegativeResult;
}

}

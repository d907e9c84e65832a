#include "client/waitcommand.h"

#include <algorithm>
#include <thread>

#include <CLI/App.hpp>

#include "client/nodestatus.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadTimeout{1000};
constexpr Milliseconds PollInterval{50};

bool isActive(const NodeStatusResult &status, RouteVersion version)
{
    return status && status.value().routes >= version;
}

void printLagging(const std::vector<Endpoint> &nodes, const std::vector<NodeStatusResult> &statuses,
                  RouteVersion version, std::ostream &out)
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (isActive(statuses[index], version)) {
            continue;
        }
        out << nodes[index] << ": ";
        if (statuses[index]) {
            out << "has " << statuses[index].value().routes << '\n';
        } else {
            out << "unreachable: " << statuses[index].error().detail << '\n';
        }
    }
}

}

CLI::App *WaitCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("wait", "Waits until routes are active at all nodes");
    selection_.declare(*command);
    command->add_option("--version", version_, "the version of the routes, as a decimal number")->required();
    command->add_option("--timeout-ms", timeoutMs_, "how long to wait (default 10000)");
    return command;
}

ExitCode WaitCommand::run(const CommandOutput &output)
{
    const auto nodes = selection_.nodes(output);
    if (!nodes) {
        return ExitCode::BadUsage;
    }
    const TimePoint start = std::chrono::steady_clock::now();
    const TimePoint deadline = start + Milliseconds(timeoutMs_);
    const RouteVersion version(version_);
    while (true) {
        const auto statuses = readStatuses(*nodes, ReadTimeout);
        const TimePoint now = std::chrono::steady_clock::now();
        const bool allActive = std::all_of(statuses.begin(), statuses.end(), [version](const NodeStatusResult &status) {
            return isActive(status, version);
        });
        if (allActive) {
            const auto took = std::chrono::duration_cast<Milliseconds>(now - start);
            output.out << "version " << version << " is in force at " << nodes->size() << " nodes after "
                       << took.count() << " ms\n";
            return ExitCode::Success;
        }
        if (now >= deadline) {
            printLagging(*nodes, statuses, version, output.out);
            return ExitCode::NegativeResult;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

}

#include "client/waitcommand.h"

#include <algorithm>
#include <thread>

#include <CLI/App.hpp>

#include "client/nodestatus.h"

namespace Egretpath
{

namespace
{

constexpr Milliseconds ReadLimit{1000};
constexpr Milliseconds PollInterval{50};

bool isInForce(const NodeStatusResult &status, TableNumber number)
{
    return status && status.value().table && status.value().table->number >= number;
}

void printLagging(const std::vector<Endpoint> &nodes, const std::vector<NodeStatusResult> &statuses, TableNumber number,
                  std::ostream &out)
{
    for (std::size_t index = 0; index < nodes.size(); ++index) {
        if (isInForce(statuses[index], number)) {
            continue;
        }
        out << nodes[index] << ": ";
        if (!statuses[index]) {
            out << "unreachable: " << statuses[index].error().detail << "\n";
        } else if (statuses[index].value().table) {
            out << "has " << toString(*statuses[index].value().table) << "\n";
        } else {
            out << "has no table in force (start gate: " << statuses[index].value().start << ")\n";
        }
    }
}

}

CLI::App *WaitCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("wait", "Waits until a table is in force at all nodes");
    selection_.declare(*command);
    command->add_option("--number", number_, "the table's number, or an older one")->required();
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
    const TimePoint limit = start + Milliseconds(timeoutMs_);
    const TableNumber number(number_);
    while (true) {
        const auto statuses = readStatuses(*nodes, ReadLimit);
        const TimePoint now = std::chrono::steady_clock::now();
        const bool all = std::all_of(statuses.begin(), statuses.end(),
                                     [number](const NodeStatusResult &status) { return isInForce(status, number); });
        if (all) {
            const auto took = std::chrono::duration_cast<Milliseconds>(now - start);
            output.out << "table " << number << " is in force at " << nodes->size() << " nodes after " << took.count()
                       << " ms\n";
            return ExitCode::Fine;
        }
        if (now >= limit) {
            printLagging(*nodes, statuses, number, output.out);
            return ExitCode::No;
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

}

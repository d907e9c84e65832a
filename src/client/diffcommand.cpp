#include "client/diffcommand.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <CLI/App.hpp>

#include "routes/routerows.h"

namespace Egretpath
{

namespace
{

std::vector<std::string> sortedRows(const RouteTable &table)
{
    std::vector<std::string> rows;
    for (const RouteRow &row : rowsOf(table)) {
        rows.push_back(toCsv(row));
    }
    std::sort(rows.begin(), rows.end());
    return rows;
}

void printMissing(const std::vector<std::string> &rows, const std::vector<std::string> &others, char mark,
                  std::ostream &out)
{
    std::vector<std::string> missing;
    std::set_difference(rows.begin(), rows.end(), others.begin(), others.end(), std::back_inserter(missing));
    for (const std::string &row : missing) {
        out << mark << ' ' << row << '\n';
    }
}

}

DiffCommand::DiffCommand(RouteReader reader)
    : reader_(std::move(reader))
{
}

CLI::App *DiffCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("diff", "Shows the rows that a change of the routes takes out and puts in");
    command->add_option("old", old_, "the routes before, as they are published")->required();
    command->add_option("new", new_, "the routes after")->required();
    return command;
}

ExitCode DiffCommand::run(const CommandOutput &output)
{
    const RouteTablePointer before = readRouteFile(old_, reader_, output);
    const RouteTablePointer after = readRouteFile(new_, reader_, output);
    if (!before || !after) {
        return ExitCode::BadUsage;
    }
    if (after->version() <= before->version()) {
        output.out << "version " << after->version() << " is not above " << before->version()
                   << ": no node would take it\n";
    }
    const std::vector<std::string> oldRows = sortedRows(*before);
    const std::vector<std::string> newRows = sortedRows(*after);
    printMissing(oldRows, newRows, '-', output.out);
    printMissing(newRows, oldRows, '+', output.out);
    return oldRows == newRows ? ExitCode::Fine : ExitCode::No;
}

}

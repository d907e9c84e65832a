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

/// Prints each row of @p rows that is not in @p others, after @p sign. Precondition: both are sorted.
void printMissing(const std::vector<std::string> &rows, const std::vector<std::string> &others, char sign,
                  std::ostream &out)
{
    std::vector<std::string> missing;
    std::set_difference(rows.begin(), rows.end(), others.begin(), others.end(), std::back_inserter(missing));
    for (const std::string &row : missing) {
        out << sign << ' ' << row << '\n';
    }
}

}

DiffCommand::DiffCommand(RouteReader reader)
    : reader_(std::move(reader))
{
}

CLI::App *DiffCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("diff", "Shows the rows that a change of the routes removes and adds");
    command->add_option("old", oldPath_, "the routes before, as they are published")->required();
    command->add_option("new", newPath_, "the routes after")->required();
    return command;
}

ExitCode DiffCommand::run(const CommandOutput &output)
{
    const RouteTablePointer before = readRouteFile(oldPath_, reader_, output);
    const RouteTablePointer after = readRouteFile(newPath_, reader_, output);
    if (!before || !after) {
        return ExitCode::BadUsage;
    }
    if (after->version() <= before->version()) {
        output.out << "version " << after->version() << " is not above " << before->version()
                   << ": no node will accept it\n";
    }
    const std::vector<std::string> oldRows = sortedRows(*before);
    const std::vector<std::string> newRows = sortedRows(*after);
    printMissing(oldRows, newRows, '-', output.out);
    printMissing(newRows, oldRows, '+', output.out);
    return oldRows == newRows ? ExitCode::Success : ExitCode::NegativeResult;
}

}

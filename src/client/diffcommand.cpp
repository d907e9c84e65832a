#include "client/diffcommand.h"

#include <algorithm>
#include <vector>

#include <CLI/App.hpp>

#include "client/tablefile.h"
#include "table/tablediff.h"

namespace Egretpath
{

CLI::App *DiffCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("diff", "Tells what a new table will do");
    command->add_option("old", oldPath_, "CSV file of the table in force")->required();
    command->add_option("new", newPath_, "CSV file of the table to come")->required();
    return command;
}

ExitCode DiffCommand::run(const CommandOutput &output)
{
    const TableFile::Loaded before = TableFile::load(oldPath_, TableNumber(), output);
    const TableFile::Loaded after = TableFile::load(newPath_, TableNumber(), output);
    if (!before.table || !after.table) {
        return std::max(before.code, after.code);
    }
    const TableChange change = TableDiff::between(*before.table, *after.table);
    for (const std::string &sentence : TableDiff::describe(*before.table, change)) {
        output.out << sentence << "\n";
    }
    output.out << change.changed.size() << " rows new or changed, " << change.removed.size() << " removed\n";
    return ExitCode::Fine;
}

}

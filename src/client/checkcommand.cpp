#include "client/checkcommand.h"

#include <algorithm>

#include <CLI/App.hpp>

#include "client/tablefile.h"

namespace Egretpath
{

CLI::App *CheckCommand::declare(CLI::App &app)
{
    CLI::App *command = app.add_subcommand("check", "Tells whether tables would be accepted");
    command->add_option("table", paths_, "CSV files")->required();
    return command;
}

ExitCode CheckCommand::run(const CommandOutput &output)
{
    ExitCode worst = ExitCode::Fine;
    for (const std::string &path : paths_) {
        const TableFile::Loaded loaded = TableFile::load(path, TableNumber(), output);
        worst = std::max(worst, loaded.code);
        if (loaded.table) {
            output.out << path << ": fine: " << loaded.table->services().size() << " services, "
                       << loaded.table->regions().size() << " regions, " << loaded.table->upstreams().size()
                       << " upstreams, digest " << toHex(loaded.table->digest()) << "\n";
        }
    }
    return worst;
}

}

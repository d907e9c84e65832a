#include <iostream>
#include <memory>

#include "client/checkcommand.h"
#include "client/commandline.h"
#include "client/diffcommand.h"
#include "client/publishplancommand.h"
#include "client/statuscommand.h"
#include "client/waitcommand.h"

/// The operators' client. It reads and checks; it never writes to the platform.
int main(int argumentCount, char **arguments)
{
    Egretpath::CommandLine commandLine;
    commandLine.add(std::make_unique<Egretpath::CheckCommand>());
    commandLine.add(std::make_unique<Egretpath::DiffCommand>());
    commandLine.add(std::make_unique<Egretpath::PublishPlanCommand>());
    commandLine.add(std::make_unique<Egretpath::StatusCommand>());
    commandLine.add(std::make_unique<Egretpath::WaitCommand>());
    return static_cast<int>(commandLine.run({arguments, arguments + argumentCount}, std::cout, std::cerr));
}

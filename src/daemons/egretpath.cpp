#include <iostream>
#include <memory>

#include "client/checkcommand.h"
#include "client/commandline.h"
#include "client/diffcommand.h"
#include "client/lossescommand.h"
#include "client/statuscommand.h"
#include "client/tablecommand.h"
#include "client/tracecommand.h"
#include "client/waitcommand.h"
#include "platform/publishedroutes.h"

/// The operators' client. It reads and checks routes, reads logs and the state of nodes, and never writes to the
/// platform.
int main(int argumentCount, char **arguments)
{
    const Egretpath::RouteReader reader = Egretpath::Platform::routesFromJson;
    Egretpath::CommandLine commandLine;
    commandLine.add(std::make_unique<Egretpath::CheckCommand>(reader));
    commandLine.add(std::make_unique<Egretpath::DiffCommand>(reader));
    commandLine.add(std::make_unique<Egretpath::TableCommand>(reader));
    commandLine.add(std::make_unique<Egretpath::StatusCommand>());
    commandLine.add(std::make_unique<Egretpath::WaitCommand>());
    commandLine.add(std::make_unique<Egretpath::TraceCommand>());
    commandLine.add(std::make_unique<Egretpath::LossesCommand>());
    return static_cast<int>(commandLine.run({arguments, arguments + argumentCount}, std::cout, std::cerr));
}

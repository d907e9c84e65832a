#include "daemons/sidecarmodule.h"

#include <CLI/CLI.hpp>

#include "daemons/sidecarprogram.h"

extern "C" __attribute__((visibility("default"))) int egretpathSidecarMain(int argumentCount, char **arguments)
{
    CLI::App app{
        "The egretpath node beside an upstream: accepts requests from its VM, chooses an upstream for each, and "
        "admits requests to its own upstream."};
    return Egretpath::runSidecarProgram(app, argumentCount, arguments, Egretpath::DecisionSettings());
}

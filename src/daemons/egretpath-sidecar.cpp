#include <CLI/CLI.hpp>

#include "daemons/sidecarprogram.h"

int main(int argc, char **argv)
{
    CLI::App app{
        "The egretpath node beside an upstream: accepts requests from its VM, chooses an upstream for each, and "
        "admits requests to its own upstream."};
    return Egretpath::runSidecarProgram(app, argc, argv, Egretpath::DecisionSettings());
}

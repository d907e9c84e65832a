#include <CLI/CLI.hpp>

#include "daemons/sidecarprogram.h"

int main(int argc, char **argv)
{
    CLI::App app{"Egretpath beside an upstream on the platform: takes requests, chooses upstreams, guards its own."};
    return Egretpath::runSidecarProgram(app, argc, argv, Egretpath::DecisionSettings());
}

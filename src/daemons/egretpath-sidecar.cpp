#include <CLI/CLI.hpp>

#include "daemons/sidecarprogram.h"

int main(int argc, char **argv)
{
    CLI::App app{"Egretpath beside an upstream on the platform: accepts requests, chooses upstreams, and admits "
                 "requests to its own."};
    return Egretpath::runSidecarProgram(app, argc, argv, Egretpath::DecisionSettings());
}

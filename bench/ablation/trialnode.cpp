// A node that makes its decisions with one mechanism switched off, for experiments only.

#include <iostream>
#include <string>

#include <CLI/CLI.hpp>

#include "ablation/ablation.h"
#include "daemons/sidecarprogram.h"

using namespace Egretpath;

namespace
{

void printMechanisms()
{
    for (const Mechanism &mechanism : mechanisms()) {
        std::cout << mechanism.name << '\t' << mechanism.purpose << '\n';
    }
}

void switchOff(const std::string &name, DecisionSettings &decisions)
{
    const Mechanism *mechanism = findMechanism(name);
    if (mechanism == nullptr) {
        throw CLI::ValidationError("--without", "unknown mechanism " + name + "; --list prints all names");
    }
    mechanism->switchOff(decisions);
}

}

int main(int argc, char **argv)
{
    DecisionSettings decisions;
    CLI::App app{"A node of egretpath that makes its decisions with one mechanism switched off."};
    app.add_option_function<std::string>(
        "--without", [&decisions](const std::string &name) { switchOff(name, decisions); },
        "the name of the mechanism to switch off");
    app.add_flag_callback(
        "--list",
        [] {
            printMechanisms();
            throw CLI::Success();
        },
        "prints all mechanisms");
    return runSidecarProgram(app, argc, argv, decisions);
}

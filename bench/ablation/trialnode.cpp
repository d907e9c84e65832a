// A node that decides without one mechanism; for experiments only.

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
        throw CLI::ValidationError("--without", "no mechanism is called " + name + "; --list names them");
    }
    mechanism->switchOff(decisions);
}

}

int main(int argc, char **argv)
{
    DecisionSettings decisions;
    CLI::App app{"A node of egretpath that decides without one of its mechanisms."};
    app.add_option_function<std::string>(
        "--without", [&decisions](const std::string &name) { switchOff(name, decisions); }, "a mechanism's name");
    app.add_flag_callback(
        "--list",
        [] {
            printMechanisms();
            throw CLI::Success();
        },
        "names all mechanisms");
    return runSidecarProgram(app, argc, argv, decisions);
}

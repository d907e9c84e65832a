#pragma once

#include <CLI/App.hpp>

#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// The program of a node: reads the command line with @p app, to which it adds its own options, and runs until it is
/// told to stop. Returns the exit code. @p decisions are read after the command line.
/// Precondition: called once, from main(). Thread safety: none.
[[nodiscard]] int runSidecarProgram(CLI::App &app, int argumentCount, char **arguments,
                                    const DecisionSettings &decisions);

}

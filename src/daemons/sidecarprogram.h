#pragma once

#include <CLI/App.hpp>

#include "sidecar/decisionsettings.h"

namespace Egretpath
{

/// Runs the program of a node: adds its options to @p app, parses the command line with it, and runs until a signal
/// requests the stop. Returns the exit code. @p decisions are read only after the command line was parsed, so that
/// options of @p app may set them. Precondition: called once, from main(). Thread safety: none.
[[nodiscard]] int runSidecarProgram(CLI::App &app, int argumentCount, char **arguments,
                                    const DecisionSettings &decisions);

}

#pragma once

namespace Egretpath
{

/// File name of the module that holds the node, in the folder of the program.
inline constexpr const char *SidecarModule = "libegretpath-sidecar.so";
/// Name of the function of the module that runs the node, of type SidecarModuleMain.
inline constexpr const char *SidecarModuleEntry = "egretpathSidecarMain";

/// Runs the node with the arguments of the program and returns its exit code. Precondition: called once, from main(),
/// after blockHandledSignals(). Thread safety: none.
using SidecarModuleMain = int(int argumentCount, char **arguments);

}

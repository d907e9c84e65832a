#pragma once

#include <cstddef>

namespace Egretpath
{

/// Writes the path of @p module in the folder of @p program to @p path, which has room for @p size characters. A folder
/// below @p workingDirectory is named relative to it: that leads to the folder also where its absolute path does not,
/// as in a process whose /tmp is private. Needs no library but the system's C library. Returns whether there is such a
/// path: not if @p program names no folder, or if the path is too long. Precondition: the texts end with a zero; the
/// working directory may be null if it is not known. Thread safety: safe. Errors: none.
[[nodiscard]] bool writeModulePath(const char *program, const char *workingDirectory, const char *module, char *path,
                                   std::size_t size);

}

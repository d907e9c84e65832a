#include "daemons/modulepath.h"

#include <cstdio>
#include <cstring>

namespace Egretpath
{

namespace
{

/// The part of @p file that is below @p folder, or all of it.
const char *pathBelow(const char *folder, const char *file)
{
    if (folder == nullptr) {
        return file;
    }
    const std::size_t length = std::strlen(folder);
    const bool isBelow = std::strncmp(file, folder, length) == 0 && file[length] == '/';
    return isBelow ? file + length + 1 : file;
}

}

bool writeModulePath(const char *program, const char *workingDirectory, const char *module, char *path,
                     std::size_t size)
{
    if (std::strchr(program, '/') == nullptr) {
        return false;
    }
    const char *file = pathBelow(workingDirectory, program);
    const char *slash = std::strrchr(file, '/');
    // Without a slash the loader would search its own folders.
    const int written = slash == nullptr
        ? std::snprintf(path, size, "./%s", module)
        : std::snprintf(path, size, "%.*s/%s", static_cast<int>(slash - file), file, module);
    return written > 0 && static_cast<std::size_t>(written) < size;
}

}

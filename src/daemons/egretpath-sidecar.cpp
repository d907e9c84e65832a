#include <climits>
#include <cstdio>

#include <dlfcn.h>
#include <unistd.h>

#include "daemons/handledsignals.h"
#include "daemons/modulepath.h"
#include "daemons/sidecarmodule.h"

namespace
{

constexpr int ExitCannotStart = 1;

/// Loads the node's module from the folder of @p program. A program that was started by its name alone does not know
/// its folder; the loader then does.
void *loadModule(const char *program)
{
    char folder[PATH_MAX];
    char path[PATH_MAX];
    const char *workingDirectory = getcwd(folder, sizeof(folder));
    void *module = nullptr;
    if (Egretpath::writeModulePath(program, workingDirectory, Egretpath::SidecarModule, path, sizeof(path))) {
        module = dlopen(path, RTLD_NOW);
    }
    return module == nullptr ? dlopen(Egretpath::SidecarModule, RTLD_NOW) : module;
}

}

/// The node's program. It is linked to the C library only, so that it blocks the signals that a node handles within
/// half a millisecond. The node itself and its libraries are a module that takes several milliseconds to load.
int main(int argc, char **argv)
{
    Egretpath::blockHandledSignals();
    void *module = loadModule(argv[0]);
    void *entry = module == nullptr ? nullptr : dlsym(module, Egretpath::SidecarModuleEntry);
    if (entry == nullptr) {
        std::fprintf(stderr, "egretpath-sidecar: cannot load its module: %s\n", dlerror());
        return ExitCannotStart;
    }
    return reinterpret_cast<Egretpath::SidecarModuleMain *>(entry)(argc, argv);
}

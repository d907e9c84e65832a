#include <cstdio>

#include <dlfcn.h>

#include "daemons/handledsignals.h"
#include "daemons/sidecarmodule.h"

namespace
{

constexpr int ExitCannotStart = 1;

}

/// The node's program. It is linked to the C library only, so that it blocks the signals that a node handles within
/// half a millisecond. The node itself and its libraries are a module that takes several milliseconds to load.
int main(int argc, char **argv)
{
    Egretpath::blockHandledSignals();
    void *module = dlopen(Egretpath::SidecarModule, RTLD_NOW);
    void *entry = module == nullptr ? nullptr : dlsym(module, Egretpath::SidecarModuleEntry);
    if (entry == nullptr) {
        std::fprintf(stderr, "egretpath-sidecar: cannot load its module: %s\n", dlerror());
        return ExitCannotStart;
    }
    return reinterpret_cast<Egretpath::SidecarModuleMain *>(entry)(argc, argv);
}

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <string>
#include <unistd.h>

#include "cases.h"
#include "standins.h"

namespace
{

/// A case runs for 120 s at most.
constexpr unsigned MaxSeconds = 115;

void onTimeout(int /*signal*/)
{
    _exit(Review::CouldNotRun);
}

}

int main(int argumentCount, char **arguments)
{
    const std::map<std::string, int (*)()> cases{
        {"refused", Review::runRefusedCase},
        {"readers", Review::runReadersCase},
        {"limits", Review::runLimitsCase},
    };
    const auto found = argumentCount == 3 ? cases.find(arguments[1]) : cases.end();
    if (found == cases.end()) {
        std::fprintf(stderr, "usage: standins-2 CASE RECORD\n");
        return Review::CouldNotRun;
    }
    std::signal(SIGALRM, onTimeout);
    alarm(MaxSeconds);
    Review::openRecord(arguments[2]);
    const int outcome = found->second();
    std::fflush(stdout);
    // Threads of the stand-ins may still wait on connections.
    _exit(outcome);
}

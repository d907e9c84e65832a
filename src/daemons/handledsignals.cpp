#include "daemons/handledsignals.h"

#include <csignal>

namespace Egretpath
{

namespace
{

void changeMask(int how)
{
    sigset_t handled;
    sigemptyset(&handled);
    sigaddset(&handled, SIGHUP);
    sigaddset(&handled, SIGTERM);
    sigaddset(&handled, SIGINT);
    sigprocmask(how, &handled, nullptr);
}

}

void blockHandledSignals()
{
    changeMask(SIG_BLOCK);
}

void unblockHandledSignals()
{
    changeMask(SIG_UNBLOCK);
}

}

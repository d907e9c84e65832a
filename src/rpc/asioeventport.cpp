#include "rpc/asioeventport.h"

#include <boost/asio/post.hpp>
#include <kj/debug.h>

namespace Egretpath
{

AsioEventPort::AsioEventPort()
    : loop_(*this)
    , scope_(loop_)
{
}

/// Empties the event queue of KJ's loop before the loop is destroyed.
///
/// The coroutines that are destroyed with the io_context drop promises, which adds events to the queue of KJ's loop. KJ
/// ends the process if a loop is destroyed while its queue has events. These events may post to the io_context again,
/// so the io_context stays alive without handlers until the queue is empty.
AsioEventPort::~AsioEventPort() noexcept(false)
{
    constexpr int MaxRounds = 16;
    isScheduled_ = true;
    context_.destroyHandlers();
    for (int round = 0; round < MaxRounds && loop_.isRunnable(); ++round) {
        loop_.run();
        context_.destroyHandlers();
    }
}

bool AsioEventPort::wait()
{
    KJ_FAIL_REQUIRE("a promise must not be waited for on the event loop of a node");
}

bool AsioEventPort::poll()
{
    return false;
}

void AsioEventPort::setRunnable(bool runnable)
{
    if (!runnable || isScheduled_) {
        return;
    }
    isScheduled_ = true;
    boost::asio::post(context_, [this] { runQueue(); });
}

void AsioEventPort::runQueue()
{
    // Limited, so that a long chain of promises does not delay sockets and timers.
    constexpr unsigned MaxTurns = 256;
    isScheduled_ = false;
    loop_.run(MaxTurns);
    if (loop_.isRunnable()) {
        setRunnable(true);
    }
}

}

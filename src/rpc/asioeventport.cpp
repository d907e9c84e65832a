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

/// Coroutines that end with the io_context drop promises, whose ends are events of KJ's loop, and a loop that is
/// destroyed with events in its queue ends the process. Those events may post to the io_context again, so that it has
/// to live on without its work until the queue is empty.
AsioEventPort::~AsioEventPort() noexcept(false)
{
    constexpr int MostRounds = 16;
    scheduled_ = true;
    context_.destroyWork();
    for (int round = 0; round < MostRounds && loop_.isRunnable(); ++round) {
        loop_.run();
        context_.destroyWork();
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
    if (!runnable || scheduled_) {
        return;
    }
    scheduled_ = true;
    boost::asio::post(context_, [this] { runQueue(); });
}

void AsioEventPort::runQueue()
{
    // Bounded, so that a chain of promises cannot keep sockets and timers waiting.
    constexpr unsigned MaximumTurns = 256;
    scheduled_ = false;
    loop_.run(MaximumTurns);
    if (loop_.isRunnable()) {
        setRunnable(true);
    }
}

}

#include "rpc/asioeventport.h"

#include <boost/asio/post.hpp>
#include <kj/debug.h>

namespace Egretpath
{

AsioEventPort::AsioEventPort()
    : loop_(*this)
    , scope_(loop_)
    , lastTurns_(loop_)
{
}

AsioEventPort::~AsioEventPort() noexcept(false)
{
    // Promises that end while the io_context is destroyed must not post to it any more.
    scheduled_ = true;
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

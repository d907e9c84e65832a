#include "egress/upstreamexitmonitor.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "core/currenttime.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

/// The upstream is on the same VM, so a connection to it is refused at once if its process has exited.
constexpr Milliseconds ConnectTimeout{250};
/// All connections to a process end within this time after its exit.
constexpr Milliseconds SameCrashWindow{250};

}

UpstreamExitMonitor::UpstreamExitMonitor(asio::any_io_executor executor, HttpConnectionPool &pool, Endpoint upstream,
                                         Random random, Listener exitListener)
    : executor_(std::move(executor))
    , pool_(pool)
    , upstream_(std::move(upstream))
    , random_(random)
    , exitListener_(std::move(exitListener))
{
}

void UpstreamExitMonitor::onConnectionBroken(HeldRequest request)
{
    brokenRequests_.push_back(std::move(request));
    if (!std::exchange(isChecking_, true)) {
        asio::co_spawn(executor_, checkForExit(), asio::detached);
    }
}

asio::awaitable<void> UpstreamExitMonitor::checkForExit()
{
    const bool hasExited = co_await refusesConnections();
    isChecking_ = false;
    if (hasExited) {
        reportCrash();
    }
    brokenRequests_.clear();
}

asio::awaitable<bool> UpstreamExitMonitor::refusesConnections()
{
    const auto opened = co_await pool_.open(upstream_, currentTime() + ConnectTimeout, HttpConnectionChoice::Fresh);
    co_return !opened && opened.error().reason == Reason::ConnectFailed;
}

void UpstreamExitMonitor::reportCrash()
{
    const TimePoint now = currentTime();
    if (lastCrash_ == UpstreamCrashId() || now - lastCrashAt_ > SameCrashWindow) {
        lastCrash_ = UpstreamCrashId(random_());
        lastCrashAt_ = now;
    }
    exitListener_(lastCrash_, brokenRequests_);
}

}

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

/// A refusal on the same VM comes at once.
constexpr Milliseconds ConnectLimit{250};
/// All connections to a process end within so long of its end.
constexpr Milliseconds SameCrash{250};

}

UpstreamExitMonitor::UpstreamExitMonitor(asio::any_io_executor executor, HttpConnectionPool &pool, Endpoint upstream,
                                         Random random, Listener ended)
    : executor_(std::move(executor))
    , pool_(pool)
    , upstream_(std::move(upstream))
    , random_(random)
    , ended_(std::move(ended))
{
}

void UpstreamExitMonitor::connectionBroke(HeldRequest request)
{
    broken_.push_back(std::move(request));
    if (!std::exchange(examining_, true)) {
        asio::co_spawn(executor_, examine(), asio::detached);
    }
}

asio::awaitable<void> UpstreamExitMonitor::examine()
{
    const bool hasEnded = co_await refusesConnections();
    examining_ = false;
    if (hasEnded) {
        conclude();
    }
    broken_.clear();
}

asio::awaitable<bool> UpstreamExitMonitor::refusesConnections()
{
    const auto opened = co_await pool_.open(upstream_, currentTime() + ConnectLimit, HttpConnectionChoice::Fresh);
    co_return !opened && opened.error().reason == Reason::ConnectFailed;
}

void UpstreamExitMonitor::conclude()
{
    const TimePoint now = currentTime();
    if (lastCrash_ == UpstreamCrashId() || now - lastCrashAt_ > SameCrash) {
        lastCrash_ = UpstreamCrashId(random_());
        lastCrashAt_ = now;
    }
    ended_(lastCrash_, broken_);
}

}

#pragma once

#include <functional>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "core/clock.h"
#include "core/random.h"
#include "core/strongtype.h"
#include "http/httpconnectionpool.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/upstreamcrash.h"

namespace Egretpath
{

/// A request that an upstream had been handed and had not answered whole.
struct HeldRequest
{
    RequestId request;
    RequestFingerprint fingerprint;
    /// The upstream has answered the same request a while before.
    bool answeredRecently = false;
};

/// Tells connections that break since the upstream has ended from all others that break, and which requests it held.
///
/// An upstream that has ended refuses new connections from the same moment on. One that resets when it is full, drops
/// an idle connection or loses an answer takes new ones, as it does after its links were reset. One that does not
/// answer at all proves nothing. Thread safety: none. Precondition: the pool outlives it.
class UpstreamExitMonitor
{
public:
    /// Told at least once for each crash with requests; more often if some of their connections end a little later.
    using Listener = std::function<void(UpstreamCrashId, const std::vector<HeldRequest> &)>;

    UpstreamExitMonitor(boost::asio::any_io_executor executor, HttpConnectionPool &pool, Endpoint upstream,
                        Random random, Listener ended);

    /// The connection of @p request broke before its answer was whole.
    void connectionBroke(HeldRequest request);

private:
    boost::asio::awaitable<void> examine();
    /// Whether nobody listens at the upstream's address.
    boost::asio::awaitable<bool> refusesConnections();
    void conclude();

    boost::asio::any_io_executor executor_;
    HttpConnectionPool &pool_;
    Endpoint upstream_;
    Random random_;
    Listener ended_;
    /// Their connections broke, and it is not known yet why.
    std::vector<HeldRequest> broken_;
    bool examining_ = false;
    UpstreamCrashId lastCrash_;
    TimePoint lastCrashAt_;
};

}

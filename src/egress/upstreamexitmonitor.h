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

/// A request that was handed over to an upstream and was not answered completely.
struct HeldRequest
{
    RequestId request;
    RequestFingerprint fingerprint;
    /// Whether the upstream answered the same request recently.
    bool answeredRecently = false;
};

/// Detects that the upstream process has exited, and reports the requests that it held.
///
/// The monitor opens a new connection after a connection broke. An upstream that has exited refuses new connections
/// from that moment on. An upstream accepts them if it only reset a connection because it is full, dropped an idle
/// connection or lost an answer, or if its links were reset. An upstream that does not react to the new connection
/// proves nothing. Thread safety: none. Precondition: the pool outlives the monitor.
class UpstreamExitMonitor
{
public:
    /// Called at least once for each crash during which the upstream held requests. It is called again for the same
    /// crash if some connections end a little later.
    using Listener = std::function<void(UpstreamCrashId, const std::vector<HeldRequest> &)>;

    UpstreamExitMonitor(boost::asio::any_io_executor executor, HttpConnectionPool &pool, Endpoint upstream,
                        Random random, Listener exitListener);

    /// Call this when the connection of @p request broke before its answer was complete.
    void onConnectionBroken(HeldRequest request);

private:
    boost::asio::awaitable<void> checkForExit();
    /// Whether no process listens at the upstream's address.
    boost::asio::awaitable<bool> refusesConnections();
    void reportCrash();

    boost::asio::any_io_executor executor_;
    HttpConnectionPool &pool_;
    Endpoint upstream_;
    Random random_;
    Listener exitListener_;
    /// Requests whose connections broke for a reason that is not known yet.
    std::vector<HeldRequest> brokenRequests_;
    bool isChecking_ = false;
    UpstreamCrashId lastCrash_;
    TimePoint lastCrashAt_;
};

}

#include "sidecar/nodelimits.h"

#include <unistd.h>

namespace Egretpath
{

namespace
{

/// Limits on connections, since the smallest VMs have few file descriptors. Each caller opens dozens of connections.
constexpr std::size_t MaxCallerConnections = 1500;
constexpr std::size_t MaxProbeConnections = 64;
/// Enough for a head and a short body. Connections with more to come get more.
constexpr std::size_t MaxUnreadBytes = std::size_t{16} * 1024;
/// Callers reuse connections that were idle for up to four fifths of the published idle time. The node waits longer by
/// this factor, so that it doesn't close a connection while a request is on its way.
constexpr double IdleTimeFactor = 1.25;

/// The messages that a node holds may take so much of its memory. The largest body that callers may send on the
/// smallest VM has to fit into seven eighths of it, beside others; the rest is for streamed answers, bytes that wait
/// unread, and the node itself.
constexpr std::uint64_t MessagesPercent = 55;
constexpr std::uint64_t PercentBase = 100;

/// The memory of the VM: by the settings, else by the system.
Bytes memoryOf(const SidecarSettings &settings)
{
    constexpr std::uint64_t BytesPerMb = 1'000'000;
    if (settings.memoryMb != 0) {
        return Bytes(settings.memoryMb * BytesPerMb);
    }
    return Bytes(static_cast<std::uint64_t>(::sysconf(_SC_PHYS_PAGES))
                 * static_cast<std::uint64_t>(::sysconf(_SC_PAGESIZE)));
}

}

HttpLimits callerLimits(const CallerLimits &limits)
{
    HttpLimits http;
    http.headerBytes = static_cast<std::uint32_t>(limits.headerBytes.value());
    http.bodyBytes = limits.bodyBytes.value();
    http.connections = MaxCallerConnections;
    http.unreadBytes = MaxUnreadBytes;
    http.headerReadTime = limits.headerTime;
    http.idleTime = std::chrono::duration_cast<Duration>(limits.idleTime * IdleTimeFactor);
    return http;
}

HttpLimits callerLimitsBeforeConfig()
{
    HttpLimits http = callerLimits(CallerLimits());
    http.areSizesProvisional = true;
    return http;
}

HttpLimits probeLimits()
{
    HttpLimits http;
    http.connections = MaxProbeConnections;
    http.bodyBytes = 0;
    return http;
}

EgressSettings egressSettings(const SidecarSettings &settings, const DecisionSettings &decisions)
{
    EgressSettings egress;
    egress.upstream = settings.upstream;
    egress.queue = decisions.queue;
    egress.turns = decisions.turns;
    egress.keepsAccount = decisions.keepsUpstreamAccount;
    egress.maxAnswerPause = decisions.maxAnswerPause;
    return egress;
}

Bytes answerLimit(const SidecarSettings &settings)
{
    constexpr std::uint64_t AnswersDivisor = 8;
    return Bytes(memoryOf(settings).value() / AnswersDivisor);
}

Bytes messageLimit(const SidecarSettings &settings)
{
    return Bytes(memoryOf(settings).value() / PercentBase * MessagesPercent);
}

}

#pragma once

#include <cstdint>
#include <string>

#include "core/clock.h"
#include "core/verdict.h"
#include "instances/instancerecord.h"
#include "routes/routetable.h"
#include "routing/link.h"
#include "routing/placement.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// A try that was placed, with what decided it.
struct PlacedTry
{
    RequestId request;
    std::uint32_t number = 1;
    const Route &route;
    ServiceName service;
    Endpoint caller;
    UpstreamName upstream;
    PlacementChoice choice;
    std::size_t candidates = 0;
    /// Until the request's deadline.
    Duration left{0};
    RouteVersion routes;
    StoreRevision list;
};

/// How a request ended for its caller.
struct EndedRequest
{
    RequestId request;
    /// Null if none took it.
    const Route *route = nullptr;
    ServiceName service;
    /// Zero: no answer was given.
    std::uint16_t status = 0;
    Verdict verdict = Verdict::Answered;
    Reason reason = Reason::None;
    std::string detail;
    /// Tries, declined ones included, and upstreams that may have got the request.
    std::uint32_t sent = 0;
    std::size_t reached = 0;
    Duration took{0};
    RouteVersion routes;
};

/// Writes what became of the requests of callers: one line for each decision, counters and latencies.
/// Thread safety: none. Precondition: log and metrics outlive it.
class RequestLog
{
public:
    RequestLog(EventLog &log, Metrics &metrics)
        : log_(log)
        , metrics_(metrics)
    {
    }

    void placed(const PlacedTry &item);
    void ended(const EndedRequest &item);

private:
    EventLog &log_;
    Metrics &metrics_;
};

}

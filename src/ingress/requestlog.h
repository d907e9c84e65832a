#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "admission/stopadmission.h"
#include "calls/dependentcalls.h"
#include "core/clock.h"
#include "core/verdict.h"
#include "instances/instancerecord.h"
#include "routes/routetable.h"
#include "routing/link.h"
#include "routing/placement.h"
#include "routing/serviceroom.h"
#include "telemetry/eventlog.h"
#include "telemetry/metrics.h"

namespace Egretpath
{

/// A try for which an upstream was chosen, and the values behind the choice.
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
    /// Time until the request's deadline.
    Duration timeLeft{0};
    RouteVersion routesVersion;
    StoreRevision listRevision;
    /// The priority that is sent with the try; see RequestParameters.
    std::uint32_t priority = 0;
    bool isDependent = false;
};

/// How a request ended for its caller.
struct EndedRequest
{
    RequestId request;
    /// Null if no route matched the request.
    const Route *route = nullptr;
    ServiceName service;
    /// Zero if no answer was given, or if the answer was sent to the caller in pieces.
    std::uint16_t status = 0;
    Verdict verdict = Verdict::Answered;
    Reason reason = Reason::None;
    std::string detail;
    /// The number of tries, including declined ones; see RequestTries::tryCount().
    std::uint32_t tryCount = 0;
    /// The number of upstreams that may have got the request.
    std::size_t reachedCount = 0;
    Duration duration{0};
    RouteVersion routesVersion;
    /// The size of the answer's body; nothing if the caller got no answer of an upstream.
    std::optional<std::uint64_t> answerBytes;
};

/// A request that has not ended when its process does.
struct CutRequest
{
    RequestId request;
    /// Null if its head was not read completely, or no route matches it.
    const Route *route = nullptr;
    ServiceName service;
    /// The upstream that has it; empty if none has.
    UpstreamName upstream;
    std::uint32_t tryCount = 0;
    Duration age{0};
    /// Time until the request's deadline.
    Duration timeLeft{0};
    StopBasis takenBy = StopBasis::NotStopping;
    bool hasAnswerBegun = false;
};

/// Records the placement and the end of callers' requests as log lines, counters and latencies.
/// Thread safety: none. Precondition: the log and the metrics outlive this object.
class RequestLog
{
public:
    RequestLog(EventLog &log, Metrics &metrics)
        : log_(log)
        , metrics_(metrics)
    {
    }

    /// Records a request of @p route that is a call by the upstream, or that was one before.
    void recordCall(const RouteName &route, const CallDecision &decision);
    void recordPlacement(const PlacedTry &item);
    void recordEnd(const EndedRequest &item);
    void recordCut(const CutRequest &item);
    /// Records that @p request was placed by routes @p older, and is placed by @p newer now.
    void recordPlacedAnew(const RequestId &request, RouteVersion older, RouteVersion newer);
    void recordRoomChange(const RoomState &state);
    /// Counts a request that was refused without a try because @p service is short of capacity.
    void countRefusedShortOfRoom(const ServiceName &service);

private:
    EventLog &log_;
    Metrics &metrics_;
};

}

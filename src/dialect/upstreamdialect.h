#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/requestrate.h"
#include "core/strongtype.h"
#include "http/httphead.h"

namespace Egretpath
{

/// What the node sends to the upstream in header fields of each request.
struct UpstreamMetadata
{
    /// The time left until the deadline, at which the upstream stops its work.
    Milliseconds timeLeft{0};
    /// The only upstream that may run the request. Another upstream that now has the address refuses the request.
    UpstreamName target;
    /// The service on the VM where the request began.
    ServiceName callerService;
};

/// The load that an upstream reports with an answer.
struct UpstreamLoadSample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work currently takes on the VM, in percent of the baseline time; zero if it is not reported.
    std::uint16_t slowdownPercent = 0;
};

/// What an upstream reports in the header fields and the status of an answer.
struct UpstreamAnswerMetadata
{
    /// The upstream states that it did not run the request.
    bool isNotRun = false;
    /// The answer comes from another upstream, which now has the address.
    bool isWrongUpstream = false;
    /// Whether the answer carries the mark that the upstream adds to each answer that it makes itself, and nothing
    /// shows that the answer was changed on its way. Always true for failures, which need no mark.
    bool isAuthentic = true;
    /// The id of the answered request; empty if the answer names none.
    RequestId request;
    std::optional<UpstreamLoadSample> load;
    /// The rate of requests that the upstream takes from all nodes together; nothing if it names none.
    std::optional<RequestRate> limit;
    /// Whether the upstream says that it leaves.
    bool isLeaving = false;
    /// How much longer the upstream is cold, in a health answer: zero if the answer does not tell, nothing if it can't
    /// be read.
    std::optional<Milliseconds> warmUpLeft = Milliseconds{0};
    /// The upstream that answered; empty if the answer does not name it.
    UpstreamName upstream;
};

/// Reads and writes the header fields that the load balancer and its upstreams exchange. Each interface to upstreams
/// has its own implementation. Thread safety: const access may be shared.
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    /// Sets the fields for @p metadata in @p headers and replaces fields of the same names that a caller sent.
    virtual void writeMetadata(HttpHeaders &headers, const UpstreamMetadata &metadata) const = 0;
    /// Reads what the upstream reports with an answer.
    [[nodiscard]] virtual UpstreamAnswerMetadata read(const HttpResponseHead &head) const = 0;
};

}

#pragma once

#include <cstdint>
#include <optional>

#include "core/clock.h"
#include "core/strongtype.h"
#include "http/httphead.h"

namespace Egretpath
{

/// What an upstream is told with each request.
struct UpstreamMetadata
{
    /// Time left; the upstream stops its work then.
    Milliseconds left{0};
    /// Only this upstream may run the request; another one at the address refuses it.
    UpstreamName target;
    /// The service beside whose VM the request began.
    ServiceName callerService;
};

/// What an upstream says of its load with an answer.
struct UpstreamLoadSample
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// How long work takes on the VM at this moment, in percent of the usual; zero if it does not say.
    std::uint16_t slowdownPercent = 0;
};

/// What an upstream's answer says in header fields.
struct UpstreamAnswerMetadata
{
    /// The upstream states that it did not run the request.
    bool notRun = false;
    /// Another upstream has the address.
    bool wrongUpstream = false;
    /// The answer bears what the upstream adds to all that it made itself; always true of failures.
    bool isComplete = true;
    /// The id of the request that is answered; empty if the answer names none.
    RequestId request;
    std::optional<UpstreamLoadSample> load;
    /// Who answered; empty if it does not say.
    UpstreamName upstream;
};

/// The header fields that this system and its upstreams exchange. One implementation for each interface.
/// Thread safety: const access may be shared.
class UpstreamDialect
{
public:
    virtual ~UpstreamDialect() = default;

    /// Sets the fields that the system itself sets, in place of what a caller sent under their names.
    virtual void decorate(HttpHeaders &headers, const UpstreamMetadata &terms) const = 0;
    [[nodiscard]] virtual UpstreamAnswerMetadata read(const HttpResponseHead &head) const = 0;
};

}

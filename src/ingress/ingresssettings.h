#pragma once

#include <cstddef>
#include <cstdint>

namespace Egretpath
{

/// Constants of the ingress role's decisions.
struct IngressSettings
{
    /// How often a request may be declined before an upstream has to take it. Each try that may be declined costs a
    /// round trip over a link, and the answers of three upstreams show the load of most nearby upstreams.
    std::uint32_t maxDeclines = 3;
    /// A request is refused after this number of tries if the last one was refused because of the upstream's rate
    /// limit.
    std::uint32_t maxLimitedTries = 8;
    /// A node declines a request only if another upstream is better by this factor. Otherwise equally loaded upstreams
    /// would pass requests around.
    double declineMargin = 1.1;
    /// A larger body is sent only after the node accepted the request in a dry run. Bodies of declined requests occupy
    /// links of low bandwidth, and short calls then wait for them.
    std::size_t maxBodyWithoutDryRun = std::size_t{12} * 1024;
    /// Callers whose timeout is at most this many times the target latency count as dependent on the answer: they need
    /// it for their own work and fail without it.
    int dependentTimeoutFactor = 3;
    /// Retry delays are increased at random by up to this share, so that callers refused together don't retry together.
    double retryAfterSpread = 1.0;
    /// The share of the common retry limit that nodes use. Nodes that join and leave make the share of each node
    /// uncertain, and requests that an upstream sends on behalf of a retried request count as retries too.
    double usedRetryShare = 0.7;
};

}

#pragma once

#include <cstddef>
#include <cstdint>

namespace Egretpath
{

/// Constants of the ingress role's decisions.
struct IngressSettings
{
    /// How often a request may be declined before an upstream has to take it: each question costs a crossing, and the
    /// answers of three upstreams are news of most of what is near.
    std::uint32_t maxQueries = 3;
    /// A node declines only when the alternative is better by this factor, so that equals don't pass requests around.
    double declineMargin = 1.1;
    /// A larger body is sent only to a node that said it would take the request: bodies that are declined take up links
    /// of little bandwidth, on which short calls then wait.
    std::size_t bodyToAskFor = std::size_t{12} * 1024;
    /// Callers that wait at most this many times the target depend on the answer for their own work, and fail without
    /// it.
    int patienceOfDependents = 3;
    /// Return times are spread by up to this share of them, so that callers refused together don't return together.
    double retryAfterSpread = 1.0;
    /// The part of the shared allowance of repeats that nodes use: nodes that join and leave make each other's share
    /// uncertain, and requests that an upstream sends for a repeated request count as repeats as well.
    double repeatsUsed = 0.7;
};

}

#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/upstreamcrash.h"

namespace Egretpath
{

/// A request and the crashes of upstreams that held it, as nodes tell each other.
struct SuspectedRequest
{
    RequestFingerprint fingerprint;
    std::vector<UpstreamCrash> crashes;
    /// Since the last of them.
    Milliseconds age{0};
};

/// Names the set of requests that a node refuses; two nodes with the same mark refuse the same ones. Zero: none.
using QuarantineDigest = StrongType<struct QuarantineDigestTag, std::uint64_t>;

/// What one node tells another of such requests.
struct QuarantineUpdate
{
    QuarantineDigest digest;
    std::vector<SuspectedRequest> requests;
};

}

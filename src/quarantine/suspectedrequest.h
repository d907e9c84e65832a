#pragma once

#include <cstdint>
#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "quarantine/requestfingerprint.h"
#include "quarantine/upstreamcrash.h"

namespace Egretpath
{

/// A request and the crashes of upstreams at which it was under way, as nodes report them to each other.
struct SuspectedRequest
{
    RequestFingerprint fingerprint;
    std::vector<UpstreamCrash> crashes;
    /// Time since the last of the crashes.
    Milliseconds age{0};
};

/// Digest of the set of requests that a node refuses. Two nodes with the same digest refuse the same requests; zero
/// stands for the empty set.
using QuarantineDigest = StrongType<struct QuarantineDigestTag, std::uint64_t>;

/// What one node reports to another about suspected and refused requests.
struct QuarantineUpdate
{
    /// Digest of all requests that the sender refuses.
    QuarantineDigest digest;
    std::vector<SuspectedRequest> requests;
};

}

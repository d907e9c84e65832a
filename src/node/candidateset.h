#pragma once

#include <vector>

#include "core/clock.h"
#include "core/strongtype.h"
#include "node/blackboard.h"
#include "routing/candidate.h"
#include "routing/router.h"

namespace Egretpath
{

/// The upstreams that calls of one service may be sent to now, with the addresses of their nodes.
///
/// Built from the table (weights, caps), the membership view (who is there) and the platform's list (where).
/// Thread safety: none.
struct CandidateSet
{
    /// Parallel to nodes.
    std::vector<Candidate> candidates;
    std::vector<Endpoint> nodes;
    std::vector<RegionSpill> regionSpill;
};

/// The candidates of @p service. Upstreams that leave are left out. Suspects are in it only when nothing else is:
/// a wrong suspicion must not make a service unreachable. Precondition: a table is in force. Errors: none.
[[nodiscard]] CandidateSet candidatesOf(const Blackboard &board, const ServiceName &service, TimePoint now);

}

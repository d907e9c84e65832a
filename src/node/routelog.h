#pragma once

#include <cstddef>

#include "core/strongtype.h"
#include "core/verdict.h"
#include "idempotency/keyrouter.h"
#include "node/blackboard.h"
#include "node/candidateset.h"
#include "routing/retrypolicy.h"
#include "routing/router.h"

namespace Egretpath
{

/// Writes the log line of each routing decision about one call, as far as the log's limit admits it.
///
/// Preconditions: @p board outlives it. Thread safety: none. Errors: none.
class RouteLog
{
public:
    RouteLog(Blackboard &board, RequestId request, ServiceName service);

    /// The router chose; @p tryNumber counts from 1.
    void route(const Choice &choice, const CandidateSet &set, std::size_t tryNumber);
    /// The call's key names its owner.
    void owner(const KeyTarget &target);
    /// A try at @p upstream failed, and another one follows or not.
    void retry(const UpstreamName &upstream, const Failure &failure, RetryDecision decision);

private:
    Blackboard &board_;
    RequestId request_;
    ServiceName service_;
};

}

#pragma once

#include "core/clock.h"
#include "core/verdict.h"
#include "node/blackboard.h"
#include "node/trytarget.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// Writes what a try showed about its upstream onto the blackboard: the load view and the membership view.
///
/// Preconditions: @p board outlives it. Thread safety: none. Errors: none.
class TryEvidence
{
public:
    explicit TryEvidence(Blackboard &board);

    /// @p wasSent: the try left, at @p sentAt.
    void take(const TryTarget &target, const Result<CallOutcome> &outcome, bool wasSent, TimePoint sentAt);

private:
    void takeFailure(const UpstreamName &upstream, Reason reason, bool wasSent, TimePoint now);
    void countReport(const TryTarget &target, const CallOutcome &ended);
    void takeResult(const UpstreamName &upstream, const CallOutcome &ended, TimePoint sentAt, TimePoint now);

    Blackboard &board_;
};

}

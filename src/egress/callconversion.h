#pragma once

#include "core/clock.h"
#include "core/verdict.h"
#include "dialect/upstreamdialect.h"
#include "http/httphead.h"
#include "rpc/peermessages.h"

namespace Egretpath
{

/// Returns the head of @p call as the upstream gets it, with the time left until @p deadline. Thread safety: safe.
[[nodiscard]] HttpRequestHead makeUpstreamHead(const CallHead &call, TimePoint deadline,
                                               const UpstreamDialect &dialect);
/// Returns @p failure with a reason that the ingress of @p call knows. Thread safety: safe.
[[nodiscard]] Failure readableByIngress(Failure failure, const CallHead &call);

}

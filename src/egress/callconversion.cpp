#include "egress/callconversion.h"

#include <algorithm>

#include "core/currenttime.h"

namespace Egretpath
{

HttpRequestHead makeUpstreamHead(const CallHead &call, TimePoint deadline, const UpstreamDialect &dialect)
{
    HttpRequestHead head(call.method, call.target);
    head.headers = call.headers;
    UpstreamMetadata metadata;
    metadata.timeLeft = std::max(std::chrono::duration_cast<Milliseconds>(deadline - currentTime()), Milliseconds{1});
    metadata.target = call.targetUpstream;
    metadata.callerService = call.callerService;
    dialect.writeMetadata(head.headers, metadata);
    return head;
}

/// An ingress of an earlier version would take a reason that it does not know for CrashesUpstreams, and ask nobody
/// else.
Failure readableByIngress(Failure failure, const CallHead &call)
{
    const bool isEarlierIngress = call.routesVersion == RouteVersion();
    if (isEarlierIngress && failure.reason > LastReasonOfEarlierNodes) {
        failure.reason = Reason::Overloaded;
    }
    return failure;
}

}

#include "egress/requesttracking.h"

#include <algorithm>
#include <utility>

#include "core/currenttime.h"
#include "core/durations.h"

namespace Egretpath
{

namespace
{

constexpr double Percent = 100.0;
/// A request is overdue after this many times the time expected for it: its baseline time multiplied by the VM's
/// slowdown. Hardly any work takes so long.
constexpr double OverdueFactor = 2.5;
constexpr Milliseconds MinOverdueTime{150};

}

RequestTracking::RequestTracking(EgressRole &role, CallId call, RouteName route, std::uint8_t priority)
    : role_(role)
    , call_(call)
    , route_(std::move(route))
    , priority_(priority)
    , overdueTimer_(role.executor_)
{
}

void RequestTracking::begin(const std::shared_ptr<UpstreamRequest> &request, TimePoint deadline)
{
    isAtUpstream_ = true;
    role_.account_.onStarted(call_);
    role_.requestsAtUpstream_.emplace(call_, request.get());
    role_.calls_.onStarted(call_, route_, priority_, deadline, currentTime());
    startOverdueTimer(request);
}

void RequestTracking::end(bool answered)
{
    if (!std::exchange(isAtUpstream_, false)) {
        return;
    }
    answered ? role_.account_.onAnswered(call_) : role_.account_.onGivenUp(call_);
    role_.requestsAtUpstream_.erase(call_);
    role_.calls_.onEnded(call_);
    overdueTimer_.cancel();
    if (std::exchange(isOverdue_, false)) {
        --role_.overdueCount_;
    }
}

void RequestTracking::startOverdueTimer(const std::shared_ptr<UpstreamRequest> &request)
{
    const LoadReport report = role_.report(route_);
    const double slowdown = std::max(report.slowdownPercent / Percent, 1.0);
    const Duration expectedTime = scaled(Microseconds(report.serviceTimeMicroseconds), slowdown);
    overdueTimer_.expires_after(std::max<Duration>(scaled(expectedTime, OverdueFactor), MinOverdueTime));
    // The request owns this object, so that the object exists as long as the request can be locked.
    overdueTimer_.async_wait(
        [this, weak = std::weak_ptr<UpstreamRequest>(request)](const boost::system::error_code &error) {
            const auto locked = weak.lock();
            if (!error && locked && isAtUpstream_) {
                isOverdue_ = true;
                role_.recordOverdue();
            }
        });
}

}

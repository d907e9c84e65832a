#include "soak/stoppedorder.h"

#include "soak/stoprun.h"

namespace Egretpath
{

namespace
{

/// From the bounds of the platform: a connection may end without an answer so long after the last byte of a request
/// that was not passed on.
constexpr Milliseconds LossSlack{200};
/// Requests sent up to this long after SIGTERM are excused if their upstream works on them in the last sixth of the
/// grace time.
constexpr Milliseconds ExcusedUntil{3000};
constexpr int GraceParts = 6;

CallerRoute orderRoute(const char *key, RequestKind kind, Milliseconds timeout, Milliseconds callerTimeout)
{
    CallerRoute route;
    route.key = RouteKey(key);
    route.kind = kind;
    route.service = ServiceName("arrangements");
    route.timeout = timeout;
    route.callerTimeout = callerTimeout;
    return route;
}

}

const std::vector<CallerRoute> &orderRoutes()
{
    static const std::vector<CallerRoute> routes{
        orderRoute("order", RequestKind::Unsafe, Milliseconds(1500), Milliseconds(3000)),
        orderRoute("look", RequestKind::Safe, Milliseconds(2500), Milliseconds(2500)),
        orderRoute("photo", RequestKind::Upload, Milliseconds(3000), Milliseconds(3000)),
        orderRoute("fetch", RequestKind::Download, Milliseconds(3000), Milliseconds(4000)),
        orderRoute("long", RequestKind::Unsafe, Milliseconds(12'000), Milliseconds(12'000)),
        orderRoute("call", RequestKind::Safe, Milliseconds(900), Milliseconds(400))};
    return routes;
}

std::optional<std::string> problemOf(const EndedOrder &order, const OrderStop &stop, const RunRecorder &runs)
{
    if (!order.isConnected) {
        return std::nullopt;
    }
    const auto run = runs.find(order.id);
    if (order.status == UnavailableStatus) {
        return run ? std::optional<std::string>("refused as not run, and has run") : std::nullopt;
    }
    const Milliseconds timeout = std::min(order.plan.route->timeout, order.plan.route->callerTimeout);
    const bool isTimedOut = order.endedAt - order.sentAt >= timeout - DeadlineTolerance;
    if (isTimedOut || order.status == OkStatus) {
        return std::nullopt;
    }
    if (run && run->begin < order.endedAt) {
        const bool isExcused = stop.role == StoppedRole::Ingress && order.plan.at <= ExcusedUntil
            && run->begin + order.plan.work > stop.at + stop.grace - stop.grace / GraceParts
            && order.endedAt > stop.at + stop.grace - stop.grace / GraceParts;
        return isExcused ? std::nullopt : std::optional<std::string>("cut while its upstream worked on it");
    }
    if (order.status == 0 && order.endedAt - order.lastByteAt > LossSlack) {
        return "read, not passed on and not answered";
    }
    return std::nullopt;
}

std::string describe(const EndedOrder &order, const OrderStop &stop, const RunRecorder &runs)
{
    const auto since = [](TimePoint from, TimePoint to) {
        return std::to_string(std::chrono::duration_cast<Milliseconds>(to - from).count());
    };
    std::string text = order.id.value() + " route " + order.plan.route->key.value() + " sent "
        + since(stop.at, order.sentAt) + " ms after SIGTERM, work " + std::to_string(order.plan.work.count())
        + " ms, sending " + std::to_string(static_cast<int>(order.plan.sending)) + ", status "
        + std::to_string(order.status) + " after " + since(order.sentAt, order.endedAt) + " ms";
    if (const auto run = runs.find(order.id)) {
        text += ", run begun after " + since(order.sentAt, run->begin) + " ms";
    }
    return text;
}

}

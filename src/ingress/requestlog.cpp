#include "ingress/requestlog.h"

#include "core/currenttime.h"

namespace Egretpath
{

namespace
{

Milliseconds::rep toMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<Milliseconds>(duration).count();
}

}

void RequestLog::recordCall(const RouteName &route, const CallDecision &decision)
{
    if (decision.isDependent()) {
        std::string labels = "route=\"";
        labels.append(route.value()).append("\"");
        metrics_.count("egretpath_dependent_calls_total", labels);
    }
    if (!decision.hasChanged) {
        return;
    }
    StructuredLine line("calls");
    line.add("route", route.value()).add("standing", toString(decision.standing));
    if (decision.parentPriority) {
        line.add("parent_priority", std::uint64_t{*decision.parentPriority});
    }
    log_.info(line);
}

void RequestLog::recordPlacement(const PlacedTry &item)
{
    if (!log_.admitsDecision(currentTime(), DecisionKind::Routine)) {
        return;
    }
    StructuredLine line("place");
    line.add("request", item.request.value()).add("try", std::uint64_t{item.number});
    line.add("route", item.route.name.value()).add("service", item.service.value());
    line.add("from", item.caller.value()).add("kind", toString(item.route.kind));
    line.add("priority", std::uint64_t{item.priority}).add("left_ms", toMilliseconds(item.timeLeft));
    line.add("upstream", item.upstream.value()).add("link", toString(item.choice.link));
    line.add("candidates", std::uint64_t{item.candidates}).add("expected_ms", toMilliseconds(item.choice.expected));
    line.add("acceptable_ms", toMilliseconds(item.choice.declineThreshold));
    line.add("routes", item.routesVersion.value()).add("list", item.listRevision.value());
    if (item.isDependent) {
        line.add("dependent", "yes");
    }
    if (item.route.regions.isRestricted()) {
        line.add("regions", toString(item.route.regions));
    }
    log_.decision(line);
}

void RequestLog::recordEnd(const EndedRequest &item)
{
    const std::string route = item.route == nullptr ? std::string() : item.route->name.value();
    std::string labels = "route=\"" + (route.empty() ? "none" : route);
    labels.append("\",verdict=\"").append(toString(item.verdict));
    labels.append("\",reason=\"").append(toString(item.reason)).append("\"");
    metrics_.count("egretpath_requests_total", labels);
    metrics_.record("egretpath_request_seconds", "", item.duration);
    const bool failed = item.reason != Reason::None;
    if (!log_.admitsDecision(currentTime(), failed ? DecisionKind::Failure : DecisionKind::Routine)) {
        return;
    }
    StructuredLine line("end");
    line.add("request", item.request.value()).add("route", route);
    line.add("service", item.service.value()).add("status", std::uint64_t{item.status});
    line.add("verdict", toString(item.verdict)).add("reason", toString(item.reason)).add("detail", item.detail);
    line.add("sent", std::uint64_t{item.tryCount}).add("reached", std::uint64_t{item.reachedCount});
    if (item.route != nullptr) {
        line.add("target_ms", item.route->targetLatency.count());
    }
    line.add("took_ms", toMilliseconds(item.duration)).add("routes", item.routesVersion.value());
    if (item.answerBytes) {
        line.add("bytes", *item.answerBytes);
    }
    log_.decision(line);
}

void RequestLog::recordCut(const CutRequest &item)
{
    StructuredLine line("cut");
    line.add("role", "ingress").add("request", item.request.value());
    line.add("route", item.route == nullptr ? std::string() : item.route->name.value());
    line.add("kind", item.route == nullptr ? std::string_view() : toString(item.route->kind));
    line.add("service", item.service.value()).add("upstream", item.upstream.value());
    line.add("sent", std::uint64_t{item.tryCount}).add("age_ms", toMilliseconds(item.age));
    line.add("left_ms", toMilliseconds(item.timeLeft)).add("taken_by", toString(item.takenBy));
    line.add("answer", item.hasAnswerBegun ? "begun" : "none");
    log_.warning(line);
}

void RequestLog::recordPlacedAnew(const RequestId &request, RouteVersion older, RouteVersion newer)
{
    metrics_.count("egretpath_requests_placed_anew_total");
    if (!log_.admitsDecision(currentTime(), DecisionKind::Routine)) {
        return;
    }
    StructuredLine line("placed-anew");
    line.add("request", request.value()).add("before", older.value()).add("routes", newer.value());
    log_.decision(line);
}

void RequestLog::recordRoomChange(const RoomState &state)
{
    if (!log_.admitsDecision(currentTime(), DecisionKind::Routine)) {
        return;
    }
    StructuredLine line("short");
    line.add("service", state.service.value()).add("priority", std::uint64_t{state.priority});
    line.add("met", std::uint64_t{state.met}).add("made", std::uint64_t{state.made});
    line.add("tries", std::uint64_t{state.tries});
    log_.decision(line);
}

void RequestLog::countRefusedShortOfRoom(const ServiceName &service)
{
    metrics_.count("egretpath_refused_short_of_room_total", "service=\"" + service.value() + "\"");
}

}

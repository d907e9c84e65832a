#include "sidecar/operatorpages.h"

#include <cmath>
#include <string_view>
#include <utility>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "calls/dependentcalls.h"
#include "core/currenttime.h"
#include "core/durations.h"
#include "routes/routerows.h"

namespace Egretpath
{

namespace asio = boost::asio;

namespace
{

constexpr const char *JsonType = "application/json";
constexpr const char *CsvType = "text/csv";
constexpr const char *MetricsType = "text/plain; version=0.0.4";

asio::awaitable<void> respond(HttpExchange &exchange, std::string type, std::string text)
{
    HttpResponseHead head;
    head.headers.add("Content-Type", std::move(type));
    [[maybe_unused]] const Result<void> sent = co_await exchange.respond(std::move(head), std::move(text));
}

/// The routes of calls by the upstream beside the node.
boost::json::array callsStatus(const DependentCalls &calls)
{
    constexpr double Percent = 100.0;
    boost::json::array routes;
    for (const DependentRouteState &state : calls.states(currentTime())) {
        boost::json::object route{{"route", state.route.value()},
                                  {"standing", toString(state.standing)},
                                  {"unanswered_percent", std::lround(state.unansweredShare * Percent)},
                                  {"failing", state.isFailing}};
        if (state.parentPriority) {
            route["parent_priority"] = *state.parentPriority;
        }
        routes.push_back(std::move(route));
    }
    return routes;
}

}

OperatorPages::OperatorPages(SidecarState &state, const HeldAnswers &heldAnswers, const HeldMessages &heldMessages,
                             const CatalogController &catalog, const EgressRole &egress, const IngressRole &ingress,
                             const QuarantineController &quarantine, const LinkPacer *linkPacer)
    : state_(state)
    , heldAnswers_(heldAnswers)
    , heldMessages_(heldMessages)
    , catalog_(catalog)
    , egress_(egress)
    , ingress_(ingress)
    , quarantine_(quarantine)
    , linkPacer_(linkPacer)
{
}

asio::awaitable<void> OperatorPages::serve(HttpExchange &exchange)
{
    const std::string_view target = exchange.head().target;
    if (target == "/status") {
        return respond(exchange, JsonType, statusText());
    }
    if (target == "/table") {
        return respond(exchange, CsvType, state_.routes ? toCsv(*state_.routes) : std::string());
    }
    if (target == "/quarantine") {
        return respond(exchange, CsvType, quarantine_.csvText());
    }
    return respond(exchange, MetricsType, metricsText());
}

std::string OperatorPages::statusText() const
{
    const CatalogVersions versions = catalog_.versions();
    boost::json::object status{{"node", state_.settings.name},
                               {"incarnation", std::to_string(state_.self.incarnation.value())},
                               {"ready", state_.isReady()},
                               {"routes", versions.routes.value()},
                               {"list", versions.list.value()},
                               {"evacuated", toString(state_.evacuatedZones)},
                               {"limited", egress_.limitedBy()},
                               {"calls", callsStatus(egress_.calls())},
                               {"short", ingress_.shortServices()},
                               {"source", catalog_.sourceName()},
                               {"reads", catalog_.readsStore()},
                               {"store", toString(catalog_.storeState())},
                               {"searching_ms", catalog_.searchingFor().count()},
                               {"held_answer_bytes", heldAnswers_.budget().held().value()},
                               {"held_message_bytes", heldMessages_.budget().held().value()},
                               {"quarantined", state_.quarantine.refusedCount()}};
    if (linkPacer_ != nullptr) {
        status["link_mbps"] = state_.settings.linkMbps;
        status["link_backlog_ms"] = std::chrono::duration_cast<Milliseconds>(linkPacer_->backlog()).count();
        status["link_waiting"] = linkPacer_->waitingChunks();
    }
    return boost::json::serialize(status);
}

std::string OperatorPages::metricsText()
{
    Metrics &metrics = state_.metrics;
    const LoadReport report = egress_.report(RouteName());
    metrics.set("egretpath_requests_open", {}, static_cast<double>(ingress_.openRequests()));
    metrics.set("egretpath_upstreams", {}, static_cast<double>(state_.directory.size()));
    metrics.set("egretpath_requests_quarantined", {}, static_cast<double>(state_.quarantine.refusedCount()));
    metrics.set("egretpath_held_answer_bytes", {}, static_cast<double>(heldAnswers_.budget().held().value()));
    metrics.set("egretpath_held_message_bytes", {}, static_cast<double>(heldMessages_.budget().held().value()));
    metrics.set("egretpath_upstream_running", {}, report.inFlight);
    metrics.set("egretpath_upstream_queued", {}, report.queued);
    metrics.set("egretpath_log_lines_dropped", {}, static_cast<double>(state_.log.droppedDecisions()));
    metrics.set("egretpath_log_lines_lost", {}, static_cast<double>(state_.log.linesLost()));
    for (const auto &[service, share] : ingress_.serviceRoom()) {
        metrics.set("egretpath_service_room", "service=\"" + service.value() + "\"", share);
    }
    if (linkPacer_ != nullptr) {
        metrics.set("egretpath_link_backlog_seconds", {}, inSeconds(linkPacer_->backlog()));
    }
    return metrics.text();
}

}

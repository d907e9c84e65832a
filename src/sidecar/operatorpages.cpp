#include "sidecar/operatorpages.h"

#include <string_view>
#include <utility>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

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

}

OperatorPages::OperatorPages(SidecarState &state, const CatalogController &catalog, const EgressRole &egress,
                             const IngressRole &ingress, const QuarantineController &quarantine,
                             const LinkPacer *linkPacer)
    : state_(state)
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
                               {"short", ingress_.shortServices()},
                               {"source", catalog_.sourceName()},
                               {"reads", catalog_.readsStore()},
                               {"store", toString(catalog_.storeState())},
                               {"searching_ms", catalog_.searchingFor().count()},
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
